/*
 * Loaded into a process under test (LD_PRELOAD): its wall clock is that of the system plus an offset, which the
 * test writes into the file that WHEELLINK_WALL_CLOCK names, as a signed 64-bit number of microseconds. All other
 * clocks stay as they are.
 */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static const int64_t NANOSECONDS = 1000000000;
static _Atomic int64_t *offset_us;

__attribute__((constructor)) static void map_offset(void) {
    const char *path = getenv("WHEELLINK_WALL_CLOCK");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0) {
        return;
    }
    void *page = mmap(NULL, sizeof *offset_us, PROT_READ, MAP_SHARED, file, 0);
    close(file);
    offset_us = page == MAP_FAILED ? NULL : page;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int failed = (int)syscall(SYS_clock_gettime, clock, now);
    if (failed || !offset_us || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) {
        return failed;
    }
    int64_t whole = now->tv_sec * NANOSECONDS + now->tv_nsec + *offset_us * 1000;
    now->tv_sec = whole / NANOSECONDS;
    now->tv_nsec = whole % NANOSECONDS;
    return 0;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    (void)zone;
    struct timespec precise;
    int failed = clock_gettime(CLOCK_REALTIME, &precise);
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / 1000;
    return failed;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out) {
        *out = now.tv_sec;
    }
    return now.tv_sec;
}
