//! Answers of searchers whose frame states too short a length, so that it ends within the value.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use pewterwharf_standins::{SearcherBehavior, discovery_list};

mod harness;
use harness::*;

/// The space of a link's read buffer: a frame that ends there is read without what is behind it.
const READ_BUFFER_BYTES: usize = 2048;
const LENGTH_BYTES: usize = 4;

/// How an answer is cut.
#[derive(Clone, Copy, Debug)]
struct Cut {
    /// Bytes of the answer's line and value together.
    payload_bytes: usize,
    /// The stated length is too short by this many bytes.
    missing_bytes: usize,
    /// Parts that wait on the connection when the answer is sent, beside the one that it is for.
    other_parts: u32,
}

struct ReceivedPart {
    id: String,
    shard: String,
}

fn read_call(input: &mut impl Read) -> io::Result<Vec<ReceivedPart>> {
    let mut length = [0; LENGTH_BYTES];
    input.read_exact(&mut length)?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    input.read_exact(&mut frame)?;
    if frame.first() != Some(&b'D') {
        return Ok(Vec::new());
    }
    let text = String::from_utf8_lossy(&frame[1..]).into_owned();
    let mut fields = text.split(' ');
    let (Some(id), Some(shard)) = (fields.next(), fields.next()) else { return Ok(Vec::new()) };
    Ok(vec![ReceivedPart { id: id.to_owned(), shard: shard.to_owned() }])
}

/// The answer to a part, padded to this size.
fn answer_payload(part: &ReceivedPart, bytes: usize) -> String {
    let mut payload = format!("{} 200 1 -\nvalue of {} ", part.id, part.shard);
    let padding = bytes.saturating_sub(payload.len());
    payload.extend("0123456789".chars().cycle().take(padding));
    payload
}

fn answer_frame(payload: &str, missing_bytes: usize) -> Vec<u8> {
    let mut frame = ((payload.len() + 1 - missing_bytes) as u32).to_be_bytes().to_vec();
    frame.push(b'O');
    frame.extend_from_slice(payload.as_bytes());
    frame
}

/// A searcher that cuts its first answer once the other parts wait on the connection, and sends nothing more there.
/// All later connections get good answers.
#[derive(Clone)]
struct CuttingSearcher {
    cut: Cut,
    has_cut: Arc<AtomicBool>,
    /// The values that it has made.
    values: Arc<Mutex<Vec<String>>>,
}

impl CuttingSearcher {
    fn serve(&self, listener: TcpListener) {
        let searcher = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let searcher = searcher.clone();
                thread::spawn(move || drop(searcher.serve_connection(&stream)));
            }
        });
    }

    fn serve_connection(&self, mut stream: &TcpStream) -> io::Result<()> {
        let mut input = BufReader::new(stream);
        let mut waiting = Vec::new();
        loop {
            waiting.extend(read_call(&mut input)?);
            if self.has_cut.load(Ordering::SeqCst) {
                for part in waiting.drain(..) {
                    stream.write_all(&answer_frame(&self.make_answer(&part), 0))?;
                }
            } else if let [first, others @ ..] = waiting.as_slice()
                && others.len() >= self.cut.other_parts as usize
            {
                self.has_cut.store(true, Ordering::SeqCst);
                stream.write_all(&answer_frame(&self.make_answer(first), self.cut.missing_bytes))?;
                io::copy(&mut input, &mut io::sink())?;
            }
        }
    }

    fn make_answer(&self, part: &ReceivedPart) -> String {
        let payload = answer_payload(part, self.cut.payload_bytes);
        let value = payload.split_once('\n').expect("a line before the value").1;
        self.values.lock().expect("no thread panics while it holds the lock").push(value.to_owned());
        payload
    }
}

/// Asks a searcher that cuts its answers for a part, and for the others that have to wait.
fn check_cut_answer(cut: Cut) {
    let mixer = start(&[SearcherBehavior::Answers]);
    let listener = bind_free_port();
    let address: SocketAddr = listener.local_addr().expect("the listener's address");
    let searcher = CuttingSearcher { cut, has_cut: Arc::default(), values: Arc::default() };
    searcher.serve(listener);
    mixer.discovery.publish(discovery_list(2, true, &[(address, "up")]));
    let published_at = Instant::now();
    while mixer.counter("lists") < 2 {
        assert!(published_at.elapsed() < TIMEOUT, "the list is not applied");
    }
    let mut client = mixer.connect();
    client
        .write_all(scan_request("lookup", cut.other_parts + 1).as_bytes())
        .expect("the connection accepts bytes");
    let answer = read_answer(&client);
    assert!(searcher.has_cut.load(Ordering::SeqCst), "no answer was cut");
    let values = searcher.values.lock().expect("no thread panics while it holds the lock").clone();
    for data in answer.split("\"data\":\"").skip(1).filter_map(|rest| rest.split('"').next()) {
        assert!(values.iter().any(|value| value == data), "{cut:?}: a value of {} bytes", data.len());
    }
    assert!(mixer.counter("answers_doubted") > 0, "{cut:?}: {answer}");
}

/// Guards against a cut value that is passed on as whole, when the rest of the value is read together with it.
#[test]
fn cut_answer_beside_waiting_part() {
    for missing_bytes in [1, 2, 3, 4, 16] {
        check_cut_answer(Cut { payload_bytes: 60, missing_bytes, other_parts: 1 });
    }
}

/// Guards against a cut value that is passed on as whole, when nothing else waits on the link of its answer.
#[test]
fn cut_answer_alone_on_its_link() {
    for missing_bytes in [1, 2, 3, 4, 6, 16] {
        check_cut_answer(Cut { payload_bytes: 60, missing_bytes, other_parts: 0 });
    }
}

/// Guards against a cut value that is passed on as whole, when the rest of the value is left for the next read.
#[test]
fn cut_answer_at_end_of_read_buffer() {
    for other_parts in [0, 1] {
        for missing_bytes in [1, 4, 1024] {
            let payload_bytes = READ_BUFFER_BYTES - LENGTH_BYTES - 1 + missing_bytes;
            check_cut_answer(Cut { payload_bytes, missing_bytes, other_parts });
        }
    }
}
