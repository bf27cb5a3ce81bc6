//! Writing to a connection that never waits.

use std::io::{self, ErrorKind, Write};

use mio::net::TcpStream;

/// Writes what is taken now, which may be nothing; how much that was.
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
