/* Preloaded into a mixer (LD_PRELOAD). Makes accepting clients' connections fail at intervals, and records closed connections.
   SHIM_ACCEPTS_FAIL=PERIOD,DURATION: accept4() fails for the first DURATION of each PERIOD, in milliseconds.
   SHIM_REGISTERS_FAIL=PERIOD,DURATION: adding an accepted connection to an epoll instance fails in the same way.
   SHIM_CLOSES=PATH: a file that gets a line for each accepted connection that the mixer closes: the bytes received and sent. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define DESCRIPTORS 4096
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static atomic_int is_accepted[DESCRIPTORS];
static atomic_long received[DESCRIPTORS], sent[DESCRIPTORS];
static atomic_int closes_file = -1;
static atomic_uint failures;

__attribute__((constructor)) static void initialize(void) {
    const char *path = getenv("SHIM_CLOSES");
    if (path) closes_file = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

static int is_client(int descriptor) {
    return descriptor >= 0 && descriptor < DESCRIPTORS && is_accepted[descriptor];
}

static int fails_now(const char *variable) {
    const char *setting = getenv(variable);
    long period_ms, duration_ms;
    struct timespec time;
    if (!setting || sscanf(setting, "%ld,%ld", &period_ms, &duration_ms) != 2 || period_ms <= 0) return 0;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (time.tv_sec * 1000 + time.tv_nsec / 1000000) % period_ms < duration_ms;
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ENFILE, ECONNABORTED, ENOBUFS, ENOMEM};
    if (fails_now("SHIM_ACCEPTS_FAIL")) {
        errno = errors[atomic_fetch_add(&failures, 1) % 4];
        return -1;
    }
    int accepted = REAL(accept4)(socket, address, length, flags);
    if (accepted >= 0 && accepted < DESCRIPTORS) {
        received[accepted] = sent[accepted] = 0;
        is_accepted[accepted] = 1;
    }
    return accepted;
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    if (socket >= 0 && socket < DESCRIPTORS) is_accepted[socket] = 0;
    return REAL(connect)(socket, address, length);
}

int epoll_ctl(int epoll, int operation, int descriptor, struct epoll_event *event) {
    if (operation == EPOLL_CTL_ADD && is_client(descriptor) && fails_now("SHIM_REGISTERS_FAIL")) {
        errno = ENOMEM;
        return -1;
    }
    return REAL(epoll_ctl)(epoll, operation, descriptor, event);
}

ssize_t recv(int socket, void *bytes, size_t count, int flags) {
    ssize_t result = REAL(recv)(socket, bytes, count, flags);
    if (is_client(socket) && result > 0) atomic_fetch_add(&received[socket], result);
    return result;
}

ssize_t send(int socket, const void *bytes, size_t count, int flags) {
    ssize_t written = REAL(send)(socket, bytes, count, flags);
    if (is_client(socket) && written > 0) atomic_fetch_add(&sent[socket], written);
    return written;
}

int close(int descriptor) {
    if (is_client(descriptor)) {
        char line[80];
        int length = snprintf(line, sizeof line, "%ld %ld\n", received[descriptor], sent[descriptor]);
        is_accepted[descriptor] = 0;
        if (closes_file >= 0 && write(closes_file, line, length) < 0) return REAL(close)(descriptor);
    }
    return REAL(close)(descriptor);
}
