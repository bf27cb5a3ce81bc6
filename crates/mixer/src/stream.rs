//! Steps that all non-blocking connections have in common.

use std::io::{self, ErrorKind, Write};

use mio::net::TcpStream;

/// Whether a connection that was begun is established now. Once it is, small writes on it are not delayed.
///
/// # Errors
/// If the connection has failed.
pub fn finish_connecting(stream: &TcpStream) -> io::Result<bool> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    match stream.peer_addr() {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::NotConnected => return Ok(false),
        Err(error) => return Err(error),
    }
    stream.set_nodelay(true)?;
    Ok(true)
}

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
