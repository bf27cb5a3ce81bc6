/* Preloaded into a mixer (LD_PRELOAD). Records when it writes the first byte of each call to a searcher, whether or not the searcher
   reads it.
   SHIM_SENDS=PATH: the file of the record, with a line of JSON for each part.
   SHIM_SEND_BUFFER=BYTES: SO_SNDBUF of connections to searchers.
   SHIM_STOPS_AFTER=PREFIX: after the first call with a part whose name has this prefix is written, the process stops itself once.
   SHIM_HOLDS_ONE_IN=N: one in N reads of the clock is followed by a delay of up to SHIM_HOLD_MS.
   SHIM_HOLDS=N: instead of stopping the process, the thread that wrote the call is delayed by SHIM_HOLD_MS after its Nth read of the
   clock from then on.
   SHIM_HOLDS_READER_OF=TEXT: the same for the thread that first receives bytes with this text. */
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
#define FRAME_HEAD 5 /* the length and the type of a frame */
#define MAX_NAME 200 /* the longest name of a part */

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

/* Whether a descriptor is a connection to a searcher, and how many bytes of a partly written frame are left. */
static struct { atomic_int is_link; atomic_size_t left; } links[DESCRIPTORS];
static atomic_int record_file = -1;
static atomic_int has_stopped;
/* Reads of the clock until this thread is delayed; 0 if it is not to be. */
static __thread int clock_reads_left;
static unsigned delay_one_in, delay_ms;
static atomic_uint_fast64_t random_state = 88172645463325252u;

static uint64_t draw_random(void) {
    uint64_t x = atomic_fetch_add(&random_state, 0x9e3779b97f4a7c15u) ^ (uint64_t)getpid() << 32;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (clock_reads_left > 0 && --clock_reads_left == 0) usleep(1000 * delay_ms);
    if (delay_one_in > 0 && draw_random() % delay_one_in == 0) usleep(1000 * (draw_random() % delay_ms));
    return result;
}

static double now_ms(void) {
    struct timespec time;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &time);
    return time.tv_sec * 1e3 + time.tv_nsec / 1e6;
}

__attribute__((constructor)) static void initialize(void) {
    const char *path = getenv("SHIM_SENDS");
    const char *one_in = getenv("SHIM_HOLDS_ONE_IN"), *ms = getenv("SHIM_HOLD_MS");
    delay_one_in = one_in ? atoi(one_in) : 0;
    delay_ms = ms ? atoi(ms) : 0;
    if (path) record_file = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
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

static void record_part(double at, const char *part, size_t length, double timeout_ms) {
    char line[MAX_NAME + 200];
    if (length > MAX_NAME || record_file < 0) return;
    int count = snprintf(line, sizeof line, "{\"event\":\"Written\",\"at\":%.3f,\"part\":\"%.*s\",\"told_ms\":%.0f}\n",
                         at, (int)length, part, timeout_ms);
    if (write(record_file, line, count) < 0) return;
}

/* Records the parts of one call. */
static void record_call(double at, const char *call, const char *end) {
    while (call < end) {
        const char *line_end = memchr(call, '\n', end - call);
        if (!line_end) return;
        char line[512], name[MAX_NAME + 1];
        unsigned shard, timeout_ms, text_length;
        size_t length = line_end - call;
        if (length >= sizeof line) return;
        memcpy(line, call, length);
        line[length] = 0;
        if (sscanf(line, "%200s %u d=%u %u", name, &shard, &timeout_ms, &text_length) != 4) return;
        record_part(at, name, strlen(name), timeout_ms);
        call = line_end + 1 + text_length;
    }
}

/* Stops the process, or starts counting clock reads, after the first call with the configured prefix. */
static void stop_after_call(const char *call, const char *end) {
    const char *prefix = getenv("SHIM_STOPS_AFTER");
    if (!prefix || (size_t)(end - call) < strlen(prefix) || strncmp(call, prefix, strlen(prefix)) != 0) return;
    if (atomic_exchange(&has_stopped, 1)) return;
    const char *clock_reads = getenv("SHIM_HOLDS");
    if (clock_reads) clock_reads_left = atoi(clock_reads);
    else kill(getpid(), SIGSTOP);
}

/* Records the calls that begin in these bytes, of which `written` were written. */
static void record_frames(int socket, double at, const char *bytes, size_t count, size_t written) {
    size_t left = links[socket].left, offset = 0;
    const char *last_call = NULL, *last_call_end = NULL;
    while (offset < written) {
        if (left == 0) {
            if (count - offset < FRAME_HEAD) return;
            const unsigned char *head = (const unsigned char *)bytes + offset;
            left = 4 + ((size_t)head[0] << 24 | head[1] << 16 | head[2] << 8 | head[3]);
            const char *end = bytes + (offset + left < count ? offset + left : count);
            if (head[4] == 'D') {
                last_call = bytes + offset + FRAME_HEAD;
                last_call_end = end;
                record_call(at, last_call, last_call_end);
            }
        }
        size_t step = left < written - offset ? left : written - offset;
        left -= step;
        offset += step;
    }
    links[socket].left = left;
    if (last_call) stop_after_call(last_call, last_call_end);
}

ssize_t send(int socket, const void *bytes, size_t count, int flags) {
    int is_link = socket >= 0 && socket < DESCRIPTORS && links[socket].is_link;
    double at = is_link ? now_ms() : 0;
    ssize_t written = REAL(send)(socket, bytes, count, flags);
    if (is_link && written > 0) {
        int error = errno;
        record_frames(socket, at, bytes, count, written);
        errno = error;
    }
    return written;
}

ssize_t recv(int socket, void *bytes, size_t count, int flags) {
    ssize_t received = REAL(recv)(socket, bytes, count, flags);
    const char *text = getenv("SHIM_HOLDS_READER_OF"), *clock_reads = getenv("SHIM_HOLDS");
    if (text && clock_reads && received > 0 && memmem(bytes, received, text, strlen(text)) &&
        !atomic_exchange(&has_stopped, 1))
        clock_reads_left = atoi(clock_reads);
    return received;
}
