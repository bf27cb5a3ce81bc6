/* Loaded before a mixer (LD_PRELOAD): notes when it writes the first byte of each call to a searcher, whatever the searcher reads.
   SHIM_SENDS: the file for the notes, a line of JSON for each part. SHIM_SEND_BUFFER: SO_SNDBUF of connections to searchers.
   SHIM_STOPS_AFTER: once the first call that holds a part of this name's beginning is written, the process stops itself, once.
   SHIM_HOLDS_ONE_IN: whoever reads the clock is held after one in so many times, for up to SHIM_HOLD_MS.
   SHIM_HOLDS: in place of the stop, the thread that wrote is held for SHIM_HOLD_MS after it has read the clock that many times. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define DESCRIPTORS 4096
#define HEAD 5 /* of a frame: its length and its letter */
#define NAME 200

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

/* Whether a descriptor leads to a searcher, and how much of the frame that has begun is still to be written. */
static struct { atomic_int is_link; atomic_size_t left; } links[DESCRIPTORS];
static atomic_int notes = -1;
static atomic_int has_stopped;
/* Looks at the clock until this thread is held; none if it is not to be. */
static __thread int looks_left;
static unsigned holds_one_in, hold_ms;
static atomic_uint_fast64_t drawn = 88172645463325252u;

static uint64_t draw(void) {
    uint64_t x = atomic_fetch_add(&drawn, 0x9e3779b97f4a7c15u) ^ (uint64_t)getpid() << 32;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (looks_left > 0 && --looks_left == 0) usleep(1000 * hold_ms);
    if (holds_one_in > 0 && draw() % holds_one_in == 0) usleep(1000 * (draw() % hold_ms));
    return result;
}

static double now_ms(void) {
    struct timespec time;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &time);
    return time.tv_sec * 1e3 + time.tv_nsec / 1e6;
}

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("SHIM_SENDS");
    const char *one_in = getenv("SHIM_HOLDS_ONE_IN"), *ms = getenv("SHIM_HOLD_MS");
    holds_one_in = one_in ? atoi(one_in) : 0;
    hold_ms = ms ? atoi(ms) : 0;
    if (path) notes = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    const char *buffer = getenv("SHIM_SEND_BUFFER");
    int type = 0;
    socklen_t size = sizeof type;
    getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size);
    if (type == SOCK_STREAM && socket < DESCRIPTORS) {
        links[socket].is_link = 1;
        links[socket].left = 0;
        int bytes = buffer ? atoi(buffer) : 0;
        if (bytes > 0) setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
    }
    return REAL(connect)(socket, address, length);
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    int accepted = REAL(accept4)(socket, address, length, flags);
    if (accepted >= 0 && accepted < DESCRIPTORS) links[accepted].is_link = 0;
    return accepted;
}

static void note(double at, const char *part, size_t length, double told_ms) {
    char line[NAME + 200];
    if (length > NAME || notes < 0) return;
    int count = snprintf(line, sizeof line, "{\"event\":\"Written\",\"at\":%.3f,\"part\":\"%.*s\",\"told_ms\":%.0f}\n",
                         at, (int)length, part, told_ms);
    if (write(notes, line, count) < 0) return;
}

/* Notes the parts of one call, whose bytes lie here whole. */
static void call_begins(double at, const char *call, const char *end) {
    while (call < end) {
        const char *line_end = memchr(call, '\n', end - call);
        if (!line_end) return;
        char line[512], name[NAME + 1];
        unsigned shard, told_ms, text;
        size_t length = line_end - call;
        if (length >= sizeof line) return;
        memcpy(line, call, length);
        line[length] = 0;
        if (sscanf(line, "%200s %u d=%u %u", name, &shard, &told_ms, &text) != 4) return;
        note(at, name, strlen(name), told_ms);
        call = line_end + 1 + text;
    }
}

static void stop_after(const char *call, const char *end) {
    const char *begins = getenv("SHIM_STOPS_AFTER");
    if (!begins || (size_t)(end - call) < strlen(begins) || strncmp(call, begins, strlen(begins)) != 0) return;
    if (atomic_exchange(&has_stopped, 1)) return;
    const char *holds = getenv("SHIM_HOLDS");
    if (holds) looks_left = atoi(holds);
    else kill(getpid(), SIGSTOP);
}

/* Goes through the frames that these bytes begin, of which so many were written. */
static void frames_begin(int socket, double at, const char *bytes, size_t count, size_t written) {
    size_t left = links[socket].left, from = 0;
    const char *stops = NULL, *stops_end = NULL;
    while (from < written) {
        if (left == 0) {
            if (count - from < HEAD) return;
            const unsigned char *head = (const unsigned char *)bytes + from;
            left = 4 + ((size_t)head[0] << 24 | head[1] << 16 | head[2] << 8 | head[3]);
            const char *end = bytes + (from + left < count ? from + left : count);
            if (head[4] == 'D') {
                call_begins(at, bytes + from + HEAD, end);
                stops = bytes + from + HEAD, stops_end = end;
            }
        }
        size_t step = left < written - from ? left : written - from;
        left -= step;
        from += step;
    }
    links[socket].left = left;
    if (stops) stop_after(stops, stops_end);
}

ssize_t send(int socket, const void *bytes, size_t count, int flags) {
    int is_link = socket >= 0 && socket < DESCRIPTORS && links[socket].is_link;
    double at = is_link ? now_ms() : 0;
    ssize_t written = REAL(send)(socket, bytes, count, flags);
    if (is_link && written > 0) {
        int error = errno;
        frames_begin(socket, at, bytes, count, written);
        errno = error;
    }
    return written;
}
