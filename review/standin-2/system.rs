//! The system call that the standard library lacks.

use std::ffi::c_void;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsRawFd;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const c_void, size: u32) -> i32;
}

/// Ends a connection with a reset.
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger: [i32; 2] = [1, 0];
    // SAFETY: the pointer is to two integers, as the option wants, and the size is theirs.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr().cast(),
            8,
        )
    };
    drop(stream.shutdown(Shutdown::Read));
}
