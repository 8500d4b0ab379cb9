/*
 * A library to preload that lets some kinds of system calls of a process fail.
 *
 * Environment: FAILING_CALLS has the faults, separated by spaces, each as CALL,ERRNO,TARGET,ONE_IN,LIMIT,SEED: the name
 * of the function; the error (0 transfers a single byte instead); whose descriptors (any, clients, servers, files,
 * log); one in N calls fails; at most so many (0 for any number); the seed that selects them. FAILING_LISTEN_PORT tells
 * clients from servers. FAILING_CONTROL is a file that is shared with the test and has a struct control for each fault:
 * whether its calls fail now, the calls seen while they do, and the calls that failed.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#define MAX_FAULTS 8
#define MAX_NAME 16

struct control {
    int32_t active;
    int32_t unused;
    int64_t calls;
    int64_t failures;
};

struct fault {
    char call[MAX_NAME];
    char target[MAX_NAME];
    int error;
    uint64_t one_in;
    int64_t limit;
    uint64_t seed;
    struct control *control;
};

static struct fault faults[MAX_FAULTS];
static int fault_count;
static int listen_port;

static int parse_faults(char *text) {
    int count = 0;
    char *rest = NULL;
    for (char *word = strtok_r(text, " ", &rest); word != NULL && count < MAX_FAULTS; word = strtok_r(NULL, " ", &rest)) {
        struct fault *fault = &faults[count];
        if (sscanf(word, "%15[^,],%d,%15[^,],%" SCNu64 ",%" SCNd64 ",%" SCNu64, fault->call, &fault->error,
                   fault->target, &fault->one_in, &fault->limit, &fault->seed) == 6) {
            count++;
        }
    }
    return count;
}

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("FAILING_CONTROL");
    const char *list = getenv("FAILING_CALLS");
    const char *port = getenv("FAILING_LISTEN_PORT");
    if (path == NULL || list == NULL) {
        return;
    }
    listen_port = port == NULL ? 0 : atoi(port);
    char *text = strdup(list);
    int count = parse_faults(text);
    free(text);
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int file = real_open(path, O_RDWR);
    if (file < 0) {
        return;
    }
    struct control *shared = mmap(NULL, sizeof(struct control) * MAX_FAULTS, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (shared == MAP_FAILED) {
        return;
    }
    for (int i = 0; i < count; i++) {
        faults[i].control = &shared[i];
    }
    fault_count = count;
}

static int local_port(int fd) {
    struct sockaddr_storage name;
    socklen_t length = sizeof name;
    if (getsockname(fd, (struct sockaddr *)&name, &length) != 0) {
        return -1;
    }
    if (name.ss_family == AF_INET) {
        return ntohs(((struct sockaddr_in *)&name)->sin_port);
    }
    return name.ss_family == AF_INET6 ? ntohs(((struct sockaddr_in6 *)&name)->sin6_port) : -1;
}

/* Whether the descriptor is of the kind that is to fail; -1 stands for calls without one. */
static int is_target(const char *target, int fd) {
    struct stat status;
    if (fd < 0 || strcmp(target, "any") == 0) {
        return 1;
    }
    if (strcmp(target, "log") == 0) {
        return fd == STDERR_FILENO;
    }
    if (fstat(fd, &status) != 0) {
        return 0;
    }
    if (strcmp(target, "files") == 0) {
        return fd != STDERR_FILENO && (S_ISREG(status.st_mode) || S_ISDIR(status.st_mode));
    }
    return S_ISSOCK(status.st_mode) && (local_port(fd) == listen_port) == (strcmp(target, "clients") == 0);
}

static uint64_t mixed(uint64_t value) {
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/* Whether this call is to fail by this fault; counts it. */
static int fails_by(struct fault *fault, const char *name, int fd) {
    if (!fault->control->active || strcmp(fault->call, name) != 0 || !is_target(fault->target, fd)) {
        return 0;
    }
    int64_t call = __atomic_add_fetch(&fault->control->calls, 1, __ATOMIC_RELAXED);
    if (mixed(fault->seed * 1000003 + (uint64_t)call) % fault->one_in != 0) {
        return 0;
    }
    int64_t failure = __atomic_add_fetch(&fault->control->failures, 1, __ATOMIC_RELAXED);
    if (fault->limit > 0 && failure > fault->limit) {
        __atomic_sub_fetch(&fault->control->failures, 1, __ATOMIC_RELAXED);
        return 0;
    }
    return 1;
}

/* Returns the fault by which this call is to fail, or NULL; keeps errno. */
static struct fault *failing(const char *name, int fd) {
    int before = errno;
    struct fault *found = NULL;
    for (int i = 0; i < fault_count && found == NULL; i++) {
        if (fails_by(&faults[i], name, fd)) {
            found = &faults[i];
        }
    }
    errno = before;
    return found;
}

#define REAL(type, name, parameters) \
    static type(*real) parameters; \
    if (real == NULL) { \
        real = (type(*) parameters)dlsym(RTLD_NEXT, #name); \
    }

#define FAIL_IF(name, fd) \
    struct fault *fault = failing(name, fd); \
    if (fault != NULL) { \
        errno = fault->error; \
        return -1; \
    }

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(int, accept, (int, struct sockaddr *, socklen_t *))
    FAIL_IF("accept", fd)
    return real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, accept4, (int, struct sockaddr *, socklen_t *, int))
    FAIL_IF("accept", fd)
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(int, socket, (int, int, int))
    FAIL_IF("socket", -1)
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, connect, (int, const struct sockaddr *, socklen_t))
    FAIL_IF("connect", -1)
    return real(fd, address, length);
}

int setsockopt(int fd, int level, int option, const void *value, socklen_t length) {
    REAL(int, setsockopt, (int, int, int, const void *, socklen_t))
    FAIL_IF("setsockopt", fd)
    return real(fd, level, option, value, length);
}

int getsockopt(int fd, int level, int option, void *value, socklen_t *length) {
    REAL(int, getsockopt, (int, int, int, void *, socklen_t *))
    FAIL_IF("getsockopt", fd)
    return real(fd, level, option, value, length);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    REAL(int, poll, (struct pollfd *, nfds_t, int))
    FAIL_IF("poll", -1)
    return real(fds, count, timeout);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event) {
    REAL(int, epoll_ctl, (int, int, int, struct epoll_event *))
    FAIL_IF("epoll_ctl", fd)
    return real(epoll, operation, fd, event);
}

int epoll_wait(int epoll, struct epoll_event *events, int count, int timeout) {
    REAL(int, epoll_wait, (int, struct epoll_event *, int, int))
    FAIL_IF("epoll_wait", -1)
    return real(epoll, events, count, timeout);
}

int shutdown(int fd, int how) {
    REAL(int, shutdown, (int, int))
    FAIL_IF("shutdown", fd)
    return real(fd, how);
}

int close(int fd) {
    REAL(int, close, (int))
    struct fault *fault = failing("close", fd);
    int result = real(fd);
    if (fault != NULL) {
        errno = fault->error;
        return -1;
    }
    return result;
}

int fsync(int fd) {
    REAL(int, fsync, (int))
    FAIL_IF("fsync", fd)
    return real(fd);
}

int fdatasync(int fd) {
    REAL(int, fdatasync, (int))
    FAIL_IF("fsync", fd)
    return real(fd);
}

int rename(const char *from, const char *to) {
    REAL(int, rename, (const char *, const char *))
    FAIL_IF("rename", -1)
    return real(from, to);
}

ssize_t read(int fd, void *buffer, size_t count) {
    REAL(ssize_t, read, (int, void *, size_t))
    struct fault *fault = failing("read", fd);
    if (fault != NULL && fault->error == 0) {
        return real(fd, buffer, count > 1 ? 1 : count);
    }
    if (fault != NULL) {
        errno = fault->error;
        return -1;
    }
    return real(fd, buffer, count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    REAL(ssize_t, write, (int, const void *, size_t))
    struct fault *fault = failing("write", fd);
    if (fault != NULL && fault->error == 0) {
        return real(fd, buffer, count > 1 ? 1 : count);
    }
    if (fault != NULL) {
        errno = fault->error;
        return -1;
    }
    return real(fd, buffer, count);
}

ssize_t readv(int fd, const struct iovec *buffers, int count) {
    REAL(ssize_t, readv, (int, const struct iovec *, int))
    struct fault *fault = failing("read", fd);
    if (fault != NULL && fault->error == 0) {
        struct iovec first = {buffers[0].iov_base, buffers[0].iov_len > 1 ? 1 : buffers[0].iov_len};
        return real(fd, &first, 1);
    }
    if (fault != NULL) {
        errno = fault->error;
        return -1;
    }
    return real(fd, buffers, count);
}

ssize_t writev(int fd, const struct iovec *buffers, int count) {
    REAL(ssize_t, writev, (int, const struct iovec *, int))
    struct fault *fault = failing("write", fd);
    if (fault != NULL && fault->error == 0) {
        struct iovec first = {buffers[0].iov_base, buffers[0].iov_len > 1 ? 1 : buffers[0].iov_len};
        return real(fd, &first, 1);
    }
    if (fault != NULL) {
        errno = fault->error;
        return -1;
    }
    return real(fd, buffers, count);
}
