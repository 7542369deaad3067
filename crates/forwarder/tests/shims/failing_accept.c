/*
 * Preloaded into the forwarder: every second call of accept4 fails with the error that the environment variable
 * ACCEPT_ERRNO holds as a number. The connection stays in the backlog, as after a real failure of this kind.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags)
{
    static atomic_uint calls;

    if (atomic_fetch_add(&calls, 1) % 2 == 0) {
        errno = atoi(getenv("ACCEPT_ERRNO"));
        return -1;
    }
    return (int)syscall(SYS_accept4, socket, address, length, flags);
}
