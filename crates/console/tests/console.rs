//! Questions and answers over a socket, and those who ask badly.

use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;

use pewterwharf_console::{Console, LONGEST, ask};

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("console-{}-{name}", std::process::id()))
}

fn open(path: &std::path::Path) -> Console {
    let answer = |question: &str| match question {
        "bgp show" => Ok("peers\n".to_owned()),
        other => Err(format!("nothing is known of {other}")),
    };
    Console::open(path, answer).expect("it opens")
}

#[test]
fn a_question_is_answered_or_refused_and_the_socket_goes_with_its_owner() {
    let path = path("plain");
    let console = open(&path);
    assert_eq!(ask(&path, "bgp show").expect("an answer"), Ok("peers\n".to_owned()));
    assert_eq!(ask(&path, "bgp hide").expect("an answer"), Err("nothing is known of bgp hide".to_owned()));
    let mode = std::fs::metadata(&path).expect("it is there").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    drop(console);
    assert!(!path.exists() && ask(&path, "bgp show").is_err());
}

#[test]
fn who_asks_badly_costs_the_next_nothing() {
    let path = path("bad");
    let _console = open(&path);
    let bad: [&[u8]; 4] = [b"", b"no end", &[b'x'; LONGEST + 1], b"\xFF\xFE\n"];
    for bytes in bad {
        let mut stream = UnixStream::connect(&path).expect("it listens");
        let _ = stream.write_all(bytes); // it may have ended the connection
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut said = Vec::new();
        let _ = stream.read_to_end(&mut said); // or it was reset
        assert!(!said.starts_with(b"ok"), "{bytes:?}: {said:?}");
        assert_eq!(ask(&path, "bgp show").expect("an answer"), Ok("peers\n".to_owned()));
    }
}

#[test]
fn a_socket_left_behind_is_replaced_and_one_in_use_is_not() {
    let left = path("left");
    drop(UnixListener::bind(&left).expect("a socket")); // its file stays
    let console = open(&left);
    assert!(ask(&left, "bgp show").is_ok());
    let second = Console::open(&left, |_| Ok(String::new()));
    assert_eq!(second.err().map(|e| e.to_string()), Some("somebody answers there".to_owned()));
    assert_eq!(ask(&left, "bgp show").expect("the first still answers"), Ok("peers\n".to_owned()));
    drop(console);
    let file = path("file");
    std::fs::write(&file, "what somebody keeps").expect("a file");
    assert!(Console::open(&file, |_| Ok(String::new())).is_err());
    assert_eq!(std::fs::read_to_string(&file).expect("it is still there"), "what somebody keeps");
    std::fs::remove_file(&file).expect("ours");
}
