"""Close a listening socket without resetting callers that have just connected."""

from __future__ import annotations

import ctypes
import socket
import struct

import logbook

log = logbook.Logger(__name__)

# From <linux/filter.h> and <asm-generic/socket.h>; Python does not define them.
_SO_ATTACH_FILTER = 26
_LOAD_BYTE = 0x30  # BPF_LD | BPF_B | BPF_ABS
_AND = 0x54  # BPF_ALU | BPF_AND | BPF_K
_JUMP_IF_EQUAL = 0x15  # BPF_JMP | BPF_JEQ | BPF_K
_RETURN = 0x06  # BPF_RET | BPF_K
_FLAGS_OFFSET = 13  # offset of the flags in a TCP header, in bytes
_SYN = 0x02
_SYN_AND_ACK = 0x12
_WHOLE_PACKET = 0xFFFFFFFF


def _instruction(code: int, on_true: int, on_false: int, operand: int) -> bytes:
    return struct.pack("HBBI", code, on_true, on_false, operand)


_DROP_SYN = b"".join(
    (
        _instruction(_LOAD_BYTE, 0, 0, _FLAGS_OFFSET),
        _instruction(_AND, 0, 0, _SYN_AND_ACK),
        _instruction(_JUMP_IF_EQUAL, 0, 1, _SYN),
        _instruction(_RETURN, 0, 0, 0),
        _instruction(_RETURN, 0, 0, _WHOLE_PACKET),
    )
)
_INSTRUCTION_BYTES = 8


def ignore_new_connections(listener: socket.socket) -> bool:
    """Make the kernel drop new connection attempts; return False if it cannot.

    Closing a listening socket resets every connection that the kernel completed after
    the last accept, although its caller may have sent a request. With the filter, no
    connection is added while the queue is emptied before the close. A caller whose
    attempt was dropped retries it after a second and is then refused, so it has sent
    nothing.
    """
    program = ctypes.create_string_buffer(_DROP_SYN, len(_DROP_SYN))
    count = len(_DROP_SYN) // _INSTRUCTION_BYTES
    # struct sock_fprog: the length, padding to the alignment of a pointer, the pointer.
    described = struct.pack("HP", count, ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, described)
    except OSError as error:
        log.debug("attaching a packet filter to the listener failed: {}", error)
        return False
    return True
