//! Requests and responses over the socket, malformed requests, and existing files at the socket's path.

use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;

use pewterwharf_console::{Console, MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES, query};

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("console-{}-{name}", std::process::id()))
}

fn open(path: &std::path::Path) -> Console {
    let answer = |request: &str| match request {
        "bgp show" => Ok("peers\n".to_owned()),
        other => Err(format!("nothing is known of {other}")),
    };
    Console::open(path, answer).expect("the console opens")
}

#[test]
fn answers_refusals_and_socket_removal() {
    let path = path("plain");
    let console = open(&path);
    assert_eq!(query(&path, "bgp show").expect("an answer"), Ok("peers\n".to_owned()));
    assert_eq!(query(&path, "bgp hide").expect("an answer"), Err("nothing is known of bgp hide".to_owned()));
    let mode = std::fs::metadata(&path).expect("the socket exists").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    drop(console);
    assert!(!path.exists() && query(&path, "bgp show").is_err());
}

#[test]
fn malformed_requests() {
    let path = path("bad");
    let _console = open(&path);
    let malformed: [&[u8]; 4] = [b"", b"no end", &[b'x'; MAX_REQUEST_BYTES + 1], b"\xFF\xFE\n"];
    for bytes in malformed {
        let mut stream = UnixStream::connect(&path).expect("the console listens");
        let _ = stream.write_all(bytes); // fails if the console has closed the connection
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response); // fails if the connection was reset
        assert!(!response.starts_with(b"ok"), "{bytes:?}: {response:?}");
        assert_eq!(query(&path, "bgp show").expect("an answer"), Ok("peers\n".to_owned()));
    }
}

/// Guards against an answer over the limit that is cut and passed on as whole.
#[test]
fn answer_over_the_limit() {
    let path = path("long");
    let status_bytes = "ok\n".len();
    let answer = move |request: &str| Ok("x".repeat(request.parse().expect("a length")));
    let _console = Console::open(&path, answer).expect("the console opens");
    let answer_length =
        |bytes: usize| query(&path, &bytes.to_string()).map(|reply| reply.map(|text| text.len()));
    let longest = MAX_RESPONSE_BYTES - status_bytes;
    assert_eq!(answer_length(longest).expect("an answer"), Ok(longest));
    let error = answer_length(longest + 1).expect_err("the answer is too long");
    assert_eq!(error.to_string(), "the answer is longer than 1048576 bytes");
}

#[test]
fn stale_and_live_sockets() {
    let stale = path("left");
    drop(UnixListener::bind(&stale).expect("a socket")); // the file remains
    let console = open(&stale);
    assert!(query(&stale, "bgp show").is_ok());
    let second = Console::open(&stale, |_| Ok(String::new()));
    assert_eq!(second.err().map(|e| e.to_string()), Some("another process answers there".to_owned()));
    assert_eq!(query(&stale, "bgp show").expect("the first still answers"), Ok("peers\n".to_owned()));
    drop(console);
    let file = path("file");
    std::fs::write(&file, "user data").expect("a file");
    assert!(Console::open(&file, |_| Ok(String::new())).is_err());
    assert_eq!(std::fs::read_to_string(&file).expect("the file remains"), "user data");
    std::fs::remove_file(&file).expect("the file can be removed");
}
