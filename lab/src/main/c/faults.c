/*
 * A library for LD_PRELOAD that makes system calls of a process fail and shifts its wall clock, as told by a shared
 * file that the environment variable SOAK_FAULTS names. Linux only.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* The layout of the shared file; the same as in reedquay.lab.soak.FaultLibrary. */
struct faults {
    volatile int64_t wall_clock_shift_nanos;
    volatile int32_t socket_errno;
    volatile int32_t accept_errno;
    volatile int32_t connect_errno;
    volatile int32_t one_in; /* which part of the calls fail: one in this many */
};

static struct faults no_faults;
static struct faults *faults = &no_faults;
static uint32_t call_count;

static int (*real_clock_gettime)(clockid_t, struct timespec *);
static int (*real_gettimeofday)(struct timeval *, void *);
static int (*real_socket)(int, int, int);
static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);

static void resolve(void)
{
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_gettimeofday = dlsym(RTLD_NEXT, "gettimeofday");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_accept = dlsym(RTLD_NEXT, "accept");
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_connect = dlsym(RTLD_NEXT, "connect");
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

int clock_gettime(clockid_t clock, struct timespec *time)
{
    if (real_clock_gettime == NULL) {
        resolve();
    }
    int result = real_clock_gettime(clock, time);
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
