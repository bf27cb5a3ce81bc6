//! Decoding and encoding of the byte examples in the protocol documentation, and rejection of malformed frames.

use insta::assert_snapshot;
use pewterwharf::interface::Action;
use pewterwharf_simhost::codec::{Reply, read_batch};
use pewterwharf_simhost::host::Host;
use pewterwharf_terms::MixerConfig;

const FOR_MIXER: &str = "0c03000000";
const PART: &str = "03c4913a5d37a204000000000000640ad2557c3bf0910000000020e6c0400000000000002840\
                     00005643000000000000003e01";
const CLIENT_TIMED_OUT: &str = "06192b6f0e55220e00";
const WAKE: &str = "074d00000000000000";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).unwrap_or(""), 16).unwrap_or(0);
    digits.chunks(2).map(pair).collect()
}

fn frame(records: &[&str]) -> Vec<u8> {
    let body = bytes(&records.concat());
    let mut frame = bytes("0c000000");
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(bytes("00000000206ec040"));
    frame.extend(body);
    frame
}

fn decode(frame: &[u8]) -> String {
    match read_batch(&mut &frame[..]) {
        Ok(Some(batch)) => format!("{} at {}: {:#?}", batch.number, batch.now, batch.records),
        Ok(None) => "end of input".to_owned(),
        Err(error) => format!("error: {error:#}"),
    }
}

#[test]
fn documented_batches() {
    let two = frame(&[FOR_MIXER, PART, WAKE, "0c05000000", CLIENT_TIMED_OUT]);
    assert_eq!(two[..20], bytes("0c0000004f0000000500000000000000206ec040"));
    let searchers = "0b 00000000 02000000
        0000 0000000000000000 0000 0000 0000803f 0a124a07 8b13 01
        0000 0000000000d4b740 0000 0100 0000c03f 0a9011f2 b413 01";
    let dispatch_ended = "05c4913a5d37a20400000a124a078b130100000000000080324001 00";
    let list = frame(&[FOR_MIXER, searchers, "0202290000000000 0000", dispatch_ended]);
    assert_snapshot!(format!("{}\n{}\n{}", decode(&two), decode(&list), decode(&[])));
}

#[test]
fn malformed_frames() {
    let valid = frame(&[FOR_MIXER, PART]);
    let mut wrong_count = valid.clone();
    wrong_count[8] = 1;
    let cases = [
        decode(&valid[..7]),
        decode(&valid[..valid.len() - 1]),
        decode(&frame(&[FOR_MIXER, "63"])),
        decode(&frame(&[FOR_MIXER, "0207290000000000 0000"])),
        decode(&frame(&[FOR_MIXER, &PART[..40]])),
        decode(&frame(&[FOR_MIXER, "080a124a078b1300000000008032400900 00"])),
        decode(&wrong_count),
    ];
    assert_snapshot!(cases.join("\n"));
}

#[test]
fn documented_replies() {
    let mut reply = Reply::to(12);
    let searcher = "10.18.74.7:5003".parse().expect("an address");
    reply.actions(
        3,
        &[
            Action::Dispatch { part: 0x4a2375d3a91c4, searcher, timeout_ms: 80.0 },
            Action::WakeAt { at: 8912.25 },
            Action::Complete { scan: 0xe22550e6f2b19, whole: true },
            Action::CloseIdleConnections { searcher },
        ],
    );
    reply.actions(5, &[Action::Log { line: "two servers known".to_owned() }]);
    reply.actions(6, &[]);
    let hex: Vec<String> = reply.finish().iter().map(|b| format!("{b:02x}")).collect();
    assert_snapshot!(hex.concat());
}

const SETTINGS: &str = "services.count=1\nservices.0.slo_ms=800.0\nservices.0.hard_limit_ms=1500.0\n\
    services.0.points=1.0\nservices.0.idempotency=pure\nfamily_info.positions=3\nfamily_info.in_a_row=1\n\
    permissions.cancel=true\npermissions.probing=true\npermissions.parallel_tries=true\n\
    permissions.max_attempts=4\npermissions.retry_after=false\npeers_total=3\nzone=0\n\
    rules.cold_from=0.16\nrules.warm_after_ms=17000.0\nrules.tip_multiple=4.0\nrules.fall_ms=1000.0\n\
    something.new=1,2\n";

#[test]
fn valid_and_invalid_settings() {
    let parse = |text: &str| match MixerConfig::from_text(text) {
        Ok(_) => "opened".to_owned(),
        Err(error) => format!("{error:#}"),
    };
    let cases = [
        parse(SETTINGS),
        parse(&SETTINGS.replace("slo_ms=800.0", "slo_ms=soon")),
        parse(&SETTINGS.replace("=pure", "=perhaps")),
        parse(&SETTINGS.replace("zone=0", "zone=")),
        parse(&SETTINGS.replace("rules.fall_ms=1000.0\n", "")),
        parse("no pair"),
    ];
    assert_snapshot!(cases.join("\n"));
}

#[test]
fn mixer_restarted_within_one_batch() {
    let length = format!("{:08x}", (SETTINGS.len() as u32).swap_bytes());
    let text: String = SETTINGS.bytes().map(|b| format!("{b:02x}")).collect();
    let create = format!("010700000000000000{length}{text}");
    let mut host = Host::default();
    let mut process = |records: &[&str]| {
        let batch = read_batch(&mut &frame(records)[..]).expect("well formed").expect("a batch");
        match host.process(batch) {
            Ok(reply) => format!("{} bytes", reply.finish().len()),
            Err(error) => format!("error: {error:#}"),
        }
    };
    let cases = [
        process(&[FOR_MIXER, &create]),
        process(&[FOR_MIXER, PART, "0a", &create]),
        process(&[FOR_MIXER, CLIENT_TIMED_OUT, "0a"]),
        process(&[FOR_MIXER, WAKE]),
        process(&[WAKE]),
    ];
    assert_snapshot!(cases.join("\n"));
}
