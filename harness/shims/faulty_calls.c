/*
 * Library to preload into a node under test: steps the wall clock and injects errors that Linux documents
 * into system calls.
 *
 *   FAULTS_CLOCK_STEP_MS   offset of CLOCK_REALTIME from the true time; CLOCK_MONOTONIC is unaffected
 *   FAULTS_SEED            seed of the sequence that decides which calls fail
 *   FAULTS_ONE_IN          one in this number of the calls listed in FAULTS_CALLS fails
 *   FAULTS_CALLS           comma-separated: accept=ENFILE+EMFILE,connect=EADDRNOTAVAIL,socket=ENFILE,
 *                          read=EINTR,write=EINTR+SHORT,wait=EINTR; SHORT cuts a write to one byte;
 *                          also bind, listen, dup, poller (epoll_create1, eventfd) and sendto
 *   FAULTS_AFTER_MS        no calls fail in this time after the start of the process
 *   FAULTS_UNTIL_MS        no calls fail later than this after the start of the process; 0: no limit
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, CONNECT, SOCKET, READ, WRITE, WAIT, BIND, LISTEN, DUP, POLLER, SENDTO, CALL_COUNT };
static const char *const CALL_NAMES[CALL_COUNT] = {"accept", "connect", "socket", "read",   "write", "wait",
                                                   "bind",   "listen",  "dup",    "poller", "sendto"};

#define MAX_ERRORS 8
#define SHORT_WRITE -1

struct error_name {
    const char *name;
    int number;
};

static const struct error_name ERROR_NAMES[] = {
    {"ECONNABORTED", ECONNABORTED}, {"EMFILE", EMFILE},
    {"ENFILE", ENFILE},             {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM},             {"EINTR", EINTR},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH},
    {"EHOSTUNREACH", EHOSTUNREACH}, {"ETIMEDOUT", ETIMEDOUT},
    {"EADDRINUSE", EADDRINUSE},     {"EPERM", EPERM},
    {"EAGAIN", EAGAIN},             {"ENOSPC", ENOSPC},
    {"EIO", EIO},
    {"SHORT", SHORT_WRITE},
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int errors[CALL_COUNT][MAX_ERRORS];
static int error_count[CALL_COUNT];
static uint64_t random_state;
static unsigned long one_in;
static long long clock_step_ns;
static long long faults_from_ns;
static long long faults_until_ns;

static int (*real_clock_gettime)(clockid_t, struct timespec *);
static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static int (*real_socket)(int, int, int);
static ssize_t (*real_read)(int, void *, size_t);
static ssize_t (*real_recv)(int, void *, size_t, int);
static ssize_t (*real_write)(int, const void *, size_t);
static ssize_t (*real_writev)(int, const struct iovec *, int);
static ssize_t (*real_send)(int, const void *, size_t, int);
static int (*real_epoll_pwait)(int, struct epoll_event *, int, int, const sigset_t *);
static int (*real_epoll_wait)(int, struct epoll_event *, int, int);
static int (*real_bind)(int, const struct sockaddr *, socklen_t);
static int (*real_listen)(int, int);
static int (*real_fcntl)(int, int, ...);
static int (*real_epoll_create1)(int);
static int (*real_eventfd)(unsigned int, int);
static ssize_t (*real_sendto)(int, const void *, size_t, int, const struct sockaddr *, socklen_t);
static ssize_t (*real_sendmsg)(int, const struct msghdr *, int);

static long long monotonic_ns(void)
{
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static void add_error(enum call call, const char *name, size_t length)
{
    for (size_t i = 0; i < sizeof ERROR_NAMES / sizeof *ERROR_NAMES; i++) {
        const struct error_name *error = &ERROR_NAMES[i];
        if (strlen(error->name) == length && !strncmp(error->name, name, length)
            && error_count[call] < MAX_ERRORS)
            errors[call][error_count[call]++] = error->number;
    }
}

static void parse_errors(enum call call, const char *text)
{
    while (*text && *text != ',') {
        size_t length = strcspn(text, "+,");
        add_error(call, text, length);
        text += length;
        if (*text == '+')
            text++;
    }
}

static void parse_calls(const char *text)
{
    while (text && *text) {
        for (int call = 0; call < CALL_COUNT; call++) {
            size_t length = strlen(CALL_NAMES[call]);
            if (!strncmp(text, CALL_NAMES[call], length) && text[length] == '=')
                parse_errors(call, text + length + 1);
        }
        text = strchr(text, ',');
        if (text)
            text++;
    }
}

static long long env_number(const char *variable)
{
    const char *text = getenv(variable);
    return text ? atoll(text) : 0;
}

__attribute__((constructor)) static void initialize(void)
{
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_accept = dlsym(RTLD_NEXT, "accept");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_read = dlsym(RTLD_NEXT, "read");
    real_recv = dlsym(RTLD_NEXT, "recv");
    real_write = dlsym(RTLD_NEXT, "write");
    real_writev = dlsym(RTLD_NEXT, "writev");
    real_send = dlsym(RTLD_NEXT, "send");
    real_epoll_pwait = dlsym(RTLD_NEXT, "epoll_pwait");
    real_epoll_wait = dlsym(RTLD_NEXT, "epoll_wait");
    real_bind = dlsym(RTLD_NEXT, "bind");
    real_listen = dlsym(RTLD_NEXT, "listen");
    real_fcntl = dlsym(RTLD_NEXT, "fcntl64");
    real_epoll_create1 = dlsym(RTLD_NEXT, "epoll_create1");
    real_eventfd = dlsym(RTLD_NEXT, "eventfd");
    real_sendto = dlsym(RTLD_NEXT, "sendto");
    real_sendmsg = dlsym(RTLD_NEXT, "sendmsg");
    clock_step_ns = env_number("FAULTS_CLOCK_STEP_MS") * 1000000LL;
    random_state = (uint64_t)env_number("FAULTS_SEED") * 2862933555777941757ULL + 3037000493ULL;
    one_in = (unsigned long)env_number("FAULTS_ONE_IN");
    faults_from_ns = monotonic_ns() + env_number("FAULTS_AFTER_MS") * 1000000LL;
    if (env_number("FAULTS_UNTIL_MS"))
        faults_until_ns = monotonic_ns() + env_number("FAULTS_UNTIL_MS") * 1000000LL;
    parse_calls(getenv("FAULTS_CALLS"));
}

static unsigned long next_random(void)
{
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (unsigned long)(random_state >> 33);
}

/* Returns the error to inject into this call, or 0. */
static int fault(enum call call)
{
    int error = 0;
    if (!one_in || !error_count[call] || monotonic_ns() < faults_from_ns)
        return 0;
    if (faults_until_ns && monotonic_ns() >= faults_until_ns)
        return 0;
    pthread_mutex_lock(&lock);
    if (next_random() % one_in == 0)
        error = errors[call][next_random() % (unsigned long)error_count[call]];
    pthread_mutex_unlock(&lock);
    return error;
}

static int is_socket(int descriptor)
{
    struct stat status;
    return !fstat(descriptor, &status) && S_ISSOCK(status.st_mode);
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    if (!real_clock_gettime)
        real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    int result = real_clock_gettime(clock, time);
    if (!result && clock_step_ns && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        long long now = time->tv_sec * 1000000000LL + time->tv_nsec + clock_step_ns;
        time->tv_sec = now / 1000000000LL;
        time->tv_nsec = now % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result)
        *result = now.tv_sec;
    return now.tv_sec;
}

#define FAIL_IF_INJECTED(call)                                                                               \
    do {                                                                                                     \
        int error = fault(call);                                                                             \
        if (error > 0) {                                                                                     \
            errno = error;                                                                                   \
            return -1;                                                                                       \
        }                                                                                                    \
    } while (0)

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    FAIL_IF_INJECTED(ACCEPT);
    return real_accept4(descriptor, address, length, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length)
{
    FAIL_IF_INJECTED(ACCEPT);
    return real_accept(descriptor, address, length);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    FAIL_IF_INJECTED(CONNECT);
    return real_connect(descriptor, address, length);
}

int socket(int domain, int type, int protocol)
{
    FAIL_IF_INJECTED(SOCKET);
    return real_socket(domain, type, protocol);
}

ssize_t read(int descriptor, void *data, size_t length)
{
    if (is_socket(descriptor))
        FAIL_IF_INJECTED(READ);
    return real_read(descriptor, data, length);
}

ssize_t recv(int descriptor, void *data, size_t length, int flags)
{
    FAIL_IF_INJECTED(READ);
    return real_recv(descriptor, data, length, flags);
}

ssize_t write(int descriptor, const void *data, size_t length)
{
    if (is_socket(descriptor)) {
        int error = fault(WRITE);
        if (error == SHORT_WRITE)
            return real_write(descriptor, data, length ? 1 : 0);
        if (error) {
            errno = error;
            return -1;
        }
    }
    return real_write(descriptor, data, length);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    if (is_socket(descriptor)) {
        int error = fault(WRITE);
        if (error == SHORT_WRITE && count > 0)
            return real_write(descriptor, parts[0].iov_base, parts[0].iov_len ? 1 : 0);
        if (error > 0) {
            errno = error;
            return -1;
        }
    }
    return real_writev(descriptor, parts, count);
}

ssize_t send(int descriptor, const void *data, size_t length, int flags)
{
    int error = fault(WRITE);
    if (error == SHORT_WRITE)
        return real_send(descriptor, data, length ? 1 : 0, flags);
    if (error) {
        errno = error;
        return -1;
    }
    return real_send(descriptor, data, length, flags);
}

int epoll_pwait(int descriptor, struct epoll_event *events, int count, int timeout, const sigset_t *signals)
{
    FAIL_IF_INJECTED(WAIT);
    return real_epoll_pwait(descriptor, events, count, timeout, signals);
}

int epoll_wait(int descriptor, struct epoll_event *events, int count, int timeout)
{
    FAIL_IF_INJECTED(WAIT);
    return real_epoll_wait(descriptor, events, count, timeout);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t length)
{
    FAIL_IF_INJECTED(BIND);
    return real_bind(descriptor, address, length);
}

int listen(int descriptor, int backlog)
{
    FAIL_IF_INJECTED(LISTEN);
    return real_listen(descriptor, backlog);
}

int fcntl64(int descriptor, int command, ...)
{
    va_list arguments;
    va_start(arguments, command);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    if (command == F_DUPFD_CLOEXEC)
        FAIL_IF_INJECTED(DUP);
    return real_fcntl(descriptor, command, argument);
}

int epoll_create1(int flags)
{
    FAIL_IF_INJECTED(POLLER);
    return real_epoll_create1(flags);
}

int eventfd(unsigned int count, int flags)
{
    FAIL_IF_INJECTED(POLLER);
    return real_eventfd(count, flags);
}

ssize_t sendto(int descriptor, const void *data, size_t length, int flags, const struct sockaddr *address,
               socklen_t address_length)
{
    FAIL_IF_INJECTED(SENDTO);
    return real_sendto(descriptor, data, length, flags, address, address_length);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags)
{
    if (message->msg_name)
        FAIL_IF_INJECTED(SENDTO);
    return real_sendmsg(descriptor, message, flags);
}
