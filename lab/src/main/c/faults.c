/*
 * A library for LD_PRELOAD that makes system calls of a process fail, shifts its wall clock and holds up its event
 * loop, as told by a shared file that the environment variable SOAK_FAULTS names. Linux only.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define MIN_RUN_NANOS 100000000 /* between two hold-ups */

/* The layout of the shared file; the same as in reedquay.lab.soak.FaultLibrary. */
struct faults {
    volatile int64_t wall_clock_shift_nanos;
    volatile int32_t socket_errno;
    volatile int32_t accept_errno;
    volatile int32_t connect_errno;
    volatile int32_t one_in; /* which part of the calls fail: one in this many */
    volatile int32_t hold_up_micros; /* for how long a thread that polls sockets is held up; 0 for never */
    volatile int32_t hold_up_one_in; /* after which part of its readings of the clock: one in this many */
};

static struct faults no_faults;
static struct faults *faults = &no_faults;
static uint32_t call_count;
static __thread int polls_sockets;
static __thread uint32_t random_state = 0x9e3779b9;
static __thread int64_t held_up_until;

static int (*real_clock_gettime)(clockid_t, struct timespec *);
static int (*real_gettimeofday)(struct timeval *, void *);
static int (*real_socket)(int, int, int);
static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static int (*real_epoll_wait)(int, struct epoll_event *, int, int);

static void resolve(void)
{
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_gettimeofday = dlsym(RTLD_NEXT, "gettimeofday");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_accept = dlsym(RTLD_NEXT, "accept");
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_epoll_wait = dlsym(RTLD_NEXT, "epoll_wait");
}

__attribute__((constructor)) static void load(void)
{
    const char *path = getenv("SOAK_FAULTS");
    int file = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    resolve();
    if (file >= 0) {
        void *map = mmap(NULL, sizeof(struct faults), PROT_READ, MAP_SHARED, file, 0);
        if (map != MAP_FAILED) {
            faults = map;
        }
        close(file);
    }
}

/* Whether this call is to fail with the given errno, which is set then. */
static int fails(int error)
{
    uint32_t one_in = faults->one_in > 0 ? (uint32_t) faults->one_in : 1;
    if (error == 0 || __sync_fetch_and_add(&call_count, 1) % one_in != 0) {
        return 0;
    }
    errno = error;
    return 1;
}

/* Holds up a thread that polls sockets between a reading of the clock and what it does next. */
static void hold_up(const struct timespec *now)
{
    int64_t nanos = now->tv_sec * INT64_C(1000000000) + now->tv_nsec;
    int32_t micros = faults->hold_up_micros;
    uint32_t one_in = faults->hold_up_one_in > 0 ? (uint32_t) faults->hold_up_one_in : 1;
    int error = errno;
    if (!polls_sockets || micros == 0 || nanos < held_up_until + MIN_RUN_NANOS) {
        return;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 17;
    random_state ^= random_state << 5;
    if (random_state % one_in == 0) {
        usleep((useconds_t) micros);
        held_up_until = nanos + micros * INT64_C(1000);
        errno = error;
    }
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    if (real_clock_gettime == NULL) {
        resolve();
    }
    int result = real_clock_gettime(clock, time);
    if (result == 0 && clock == CLOCK_MONOTONIC) {
        hold_up(time);
    }
    if (result == 0 && clock == CLOCK_REALTIME) {
        int64_t nanos = time->tv_nsec + faults->wall_clock_shift_nanos % 1000000000;
        time->tv_sec += faults->wall_clock_shift_nanos / 1000000000 + (nanos >= 1000000000) - (nanos < 0);
        time->tv_nsec = (nanos + 1000000000) % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone)
{
    if (real_gettimeofday == NULL) {
        resolve();
    }
    int result = real_gettimeofday(time, zone);
    time->tv_sec += faults->wall_clock_shift_nanos / 1000000000;
    return result;
}

int socket(int domain, int type, int protocol)
{
    return domain != AF_UNIX && fails(faults->socket_errno) ? -1 : real_socket(domain, type, protocol);
}

int accept(int listener, struct sockaddr *address, socklen_t *length)
{
    return fails(faults->accept_errno) ? -1 : real_accept(listener, address, length);
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags)
{
    return fails(faults->accept_errno) ? -1 : real_accept4(listener, address, length, flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    return fails(faults->connect_errno) ? -1 : real_connect(descriptor, address, length);
}

int epoll_wait(int descriptor, struct epoll_event *events, int max_events, int timeout)
{
    polls_sockets = 1;
    return real_epoll_wait(descriptor, events, max_events, timeout);
}
