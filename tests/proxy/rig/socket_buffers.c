/* Limits the kernel's buffers of a program's TCP sockets, for tests on machines whose defaults differ. It is preloaded. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

/* Sets a buffer size to the number of bytes in an environment variable, if there is one. */
static void limit(int socket, int option, const char *variable)
{
    const char *value = getenv(variable);
    int saved_errno = errno;
    if (value != NULL) {
        int bytes = atoi(value);
        setsockopt(socket, SOL_SOCKET, option, &bytes, sizeof bytes);
    }
    errno = saved_errno;
}

int connect(int socket, const struct sockaddr *address, socklen_t length)
{
    int (*next)(int, const struct sockaddr *, socklen_t) = dlsym(RTLD_NEXT, "connect");
    limit(socket, SO_SNDBUF, "BACKEND_SEND_BYTES");
    return next(socket, address, length);
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags)
{
    int (*next)(int, struct sockaddr *, socklen_t *, int) = dlsym(RTLD_NEXT, "accept4");
    int socket = next(listener, address, length, flags);
    if (socket >= 0) {
        limit(socket, SO_RCVBUF, "CLIENT_RECEIVE_BYTES");
        limit(socket, SO_SNDBUF, "CLIENT_SEND_BYTES");
    }
    return socket;
}
