/* Loaded before a mixer (LD_PRELOAD): connections of clients come up late.
   SHIM_ACCEPTS_FAIL=EACH,FOR: accepting fails in the first FOR of each EACH milliseconds. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static atomic_uint failed;

static int fails_now(const char *variable) {
    const char *span = getenv(variable);
    long each, for_ms;
    struct timespec time;
    if (!span || sscanf(span, "%ld,%ld", &each, &for_ms) != 2 || each <= 0) return 0;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (time.tv_sec * 1000 + time.tv_nsec / 1000000) % each < for_ms;
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ENFILE, ECONNABORTED, ENOBUFS, ENOMEM};
    if (fails_now("SHIM_ACCEPTS_FAIL")) {
        errno = errors[atomic_fetch_add(&failed, 1) % 4];
        return -1;
    }
    return REAL(accept4)(socket, address, length, flags);
}
