/* Makes system calls of one process fail on command; preloaded (LD_PRELOAD), steered by a shared file.
 *
 * The file named by BADGERGAP_FAULTS holds one `struct fault` for each `enum call`; `injector.py` writes it while the
 * process runs. Only calls on TCP and UDP sockets over IPv4 or IPv6 are touched. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, WAIT, SHORT_READ, SHORT_WRITE, CALLS };

struct fault {
    int32_t error;       /* errno; 0: nothing is injected */
    uint32_t per_million; /* of the calls */
    int64_t left;        /* how many more; -1: no bound */
    int64_t injected;    /* how many so far */
    int64_t last_us;     /* CLOCK_MONOTONIC of the last one */
};

struct control {
    uint64_t random;
    struct fault faults[CALLS];
    int64_t wall_step_us; /* added to CLOCK_REALTIME */
};

static struct control *control;

__attribute__((constructor)) static void open_control(void) {
    const char *path = getenv("BADGERGAP_FAULTS");
    int descriptor = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (descriptor < 0)
        return;
    void *memory = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (memory != MAP_FAILED)
        control = memory;
}

static uint64_t draw(void) {
    uint64_t x = control->random;
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    control->random = x;
    return x;
}

static int64_t now_us(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Whether this call is to fail; then errno is set. */
static int fails(enum call call) {
    if (!control)
        return 0;
    struct fault *fault = &control->faults[call];
    int error = fault->error;
    if (!error || fault->left == 0 || draw() % 1000000 >= fault->per_million)
        return 0;
    if (fault->left > 0)
        fault->left--;
    fault->injected++;
    fault->last_us = now_us();
    errno = error;
    return 1;
}

static void add_step(clockid_t clock, struct timespec *now) {
    if (!control || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE))
        return;
    int64_t nanoseconds = now->tv_nsec + control->wall_step_us % 1000000 * 1000;
    now->tv_sec += control->wall_step_us / 1000000;
    if (nanoseconds < 0) {
        nanoseconds += 1000000000;
        now->tv_sec--;
    } else if (nanoseconds >= 1000000000) {
        nanoseconds -= 1000000000;
        now->tv_sec++;
    }
    now->tv_nsec = nanoseconds;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real)
        real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    int result = real(clock, now);
    if (result == 0)
        add_step(clock, now);
    return result;
}

static int is_network(int descriptor) {
    int domain = 0;
    socklen_t size = sizeof domain;
    int before = errno;
    int found = getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    errno = before;
    return found && (domain == AF_INET || domain == AF_INET6);
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept4(int descriptor, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    return is_network(descriptor) && fails(ACCEPT) ? -1 : real(descriptor, address, size, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    return is_network(descriptor) && fails(ACCEPT) ? -1 : real(descriptor, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return (domain == AF_INET || domain == AF_INET6) && fails(SOCKET) ? -1 : real(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    return is_network(descriptor) && fails(CONNECT) ? -1 : real(descriptor, address, size);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    return fails(WAIT) ? -1 : real(descriptor, events, most, timeout);
}

int epoll_pwait(int descriptor, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    return fails(WAIT) ? -1 : real(descriptor, events, most, timeout, mask);
}

static size_t clipped(enum call call, int descriptor, size_t size) {
    return size > 1 && is_network(descriptor) && fails(call) ? 1 + draw() % (size - 1) : size;
}

ssize_t read(int descriptor, void *data, size_t size) {
    REAL(read);
    if (is_network(descriptor) && fails(READ))
        return -1;
    return real(descriptor, data, clipped(SHORT_READ, descriptor, size));
}

ssize_t recv(int descriptor, void *data, size_t size, int flags) {
    REAL(recv);
    if (is_network(descriptor) && fails(READ))
        return -1;
    return real(descriptor, data, clipped(SHORT_READ, descriptor, size), flags);
}

ssize_t write(int descriptor, const void *data, size_t size) {
    REAL(write);
    if (is_network(descriptor) && fails(WRITE))
        return -1;
    return real(descriptor, data, clipped(SHORT_WRITE, descriptor, size));
}

ssize_t send(int descriptor, const void *data, size_t size, int flags) {
    REAL(send);
    if (is_network(descriptor) && fails(WRITE))
        return -1;
    return real(descriptor, data, clipped(SHORT_WRITE, descriptor, size), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    REAL(writev);
    if (is_network(descriptor) && fails(WRITE))
        return -1;
    if (count > 0 && is_network(descriptor) && fails(SHORT_WRITE))
        return write(descriptor, parts[0].iov_base, clipped(SHORT_WRITE, descriptor, parts[0].iov_len));
    return real(descriptor, parts, count);
}
