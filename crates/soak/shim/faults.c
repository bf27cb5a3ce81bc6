/* Preloaded into a mixer by the soak test (LD_PRELOAD). Now and then, system calls on sockets fail, are interrupted, or transfer only a
   few bytes. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdint.h>
#include <sys/epoll.h>
#include <sys/socket.h>

static atomic_uint_fast64_t state = 88172645463325252u;

/* Returns 1 for one in this many calls, on average. */
static int chance(unsigned one_in) {
    uint64_t x = atomic_fetch_add(&state, 0x9e3779b97f4a7c15u);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return (x ^ (x >> 31)) % one_in == 0;
}

static int fail_with(int error) {
    errno = error;
    return -1;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    if (chance(60)) return fail_with(ECONNABORTED);
    if (chance(60)) return fail_with(ENFILE);
    return REAL(accept4)(socket, address, length, flags);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    if (chance(100)) return fail_with(ENETUNREACH);
    if (chance(100)) return fail_with(EADDRNOTAVAIL);
    return REAL(connect)(socket, address, length);
}

ssize_t recv(int socket, void *bytes, size_t count, int flags) {
    if (chance(20)) return fail_with(EINTR);
    if (count > 3 && chance(10)) count = 3;
    return REAL(recv)(socket, bytes, count, flags);
}

/* Excludes the socket pair through which a signal handler wakes its thread: writes to it never fail in practice. */
static int is_local(int socket) {
    int domain = 0;
    socklen_t size = sizeof domain;
    return getsockopt(socket, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_UNIX;
}

ssize_t send(int socket, const void *bytes, size_t count, int flags) {
    if (is_local(socket)) return REAL(send)(socket, bytes, count, flags);
    if (chance(20)) return fail_with(EINTR);
    if (chance(10)) return fail_with(EAGAIN);
    if (count > 3 && chance(10)) count = 3;
    return REAL(send)(socket, bytes, count, flags);
}

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout) {
    if (chance(30)) return fail_with(EINTR);
    return REAL(epoll_wait)(epoll, events, max_events, timeout);
}
