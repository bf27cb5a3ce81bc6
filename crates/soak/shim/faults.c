/* Loaded before a mixer by the soak (LD_PRELOAD): system calls on sockets fail, are interrupted or come short, now and then. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdint.h>
#include <sys/epoll.h>
#include <sys/socket.h>

static atomic_uint_fast64_t state = 88172645463325252u;

/* One in so many calls. */
static int chance(unsigned one_in) {
    uint64_t x = atomic_fetch_add(&state, 0x9e3779b97f4a7c15u);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return (x ^ (x >> 31)) % one_in == 0;
}

static int fails(int error) {
    errno = error;
    return -1;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    if (chance(60)) return fails(ECONNABORTED);
    if (chance(60)) return fails(ENFILE);
    return REAL(accept4)(socket, address, length, flags);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    if (chance(100)) return fails(ENETUNREACH);
    if (chance(100)) return fails(EADDRNOTAVAIL);
    return REAL(connect)(socket, address, length);
}

ssize_t recv(int socket, void *bytes, size_t count, int flags) {
    if (chance(20)) return fails(EINTR);
    if (count > 3 && chance(10)) count = 3;
    return REAL(recv)(socket, bytes, count, flags);
}

/* The socket pair by which a signal's handler wakes its thread takes a byte at once, always. */
static int is_local(int socket) {
    int domain = 0;
    socklen_t size = sizeof domain;
    return getsockopt(socket, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_UNIX;
}

ssize_t send(int socket, const void *bytes, size_t count, int flags) {
    if (is_local(socket)) return REAL(send)(socket, bytes, count, flags);
    if (chance(20)) return fails(EINTR);
    if (chance(10)) return fails(EAGAIN);
    if (count > 3 && chance(10)) count = 3;
    return REAL(send)(socket, bytes, count, flags);
}

int epoll_wait(int queue, struct epoll_event *events, int most, int timeout) {
    if (chance(30)) return fails(EINTR);
    return REAL(epoll_wait)(queue, events, most, timeout);
}
