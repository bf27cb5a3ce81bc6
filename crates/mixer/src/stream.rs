//! Non-blocking writes to a connection.

use std::io::{self, ErrorKind, Write};

use mio::net::TcpStream;

/// Writes what the other side accepts now, which may be nothing, and returns the number of bytes.
///
/// # Errors
/// If the connection can't be written to any more.
pub fn write_some(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(written)
}
