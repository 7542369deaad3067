//! Proves that the program answers the simulator's wire as before: recorded bytes go to its standard input, the bytes of its
//! standard output and its words on bad input are compared with the recorded ones.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_opalpulley-simhost");

/// One run of the program: what goes in and what must come out.
#[derive(Default)]
struct Case {
    name: String,
    input: Vec<u8>,
    expected_replies: Vec<u8>,
    expected_stderr: String,
}

fn golden_path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().filter(|digit| !digit.is_whitespace()).collect();
    let pairs = digits.chunks(2).map(|pair| pair.iter().collect::<String>());
    pairs
        .map(|pair| u8::from_str_radix(&pair, 16).expect("hexadecimal digits"))
        .collect()
}

/// The cases of a file. Lines that begin with `#` are remarks.
fn read_cases(file: &str) -> Vec<Case> {
    let text = std::fs::read_to_string(golden_path(file)).expect("the golden file is readable");
    let mut cases: Vec<Case> = Vec::new();
    for line in text
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        let (key, value) = line.split_once(' ').unwrap_or((line, ""));
        if key == "case" {
            cases.push(Case {
                name: value.to_owned(),
                ..Case::default()
            });
            continue;
        }
        let case = cases.last_mut().expect("a case before its lines");
        match key {
            "input" => case.input.extend(decode_hex(value)),
            "input-text" => case.input.extend(value.as_bytes()),
            "reply" => case.expected_replies.extend(decode_hex(value)),
            "words" => case.expected_stderr = format!("{value}\n"),
            other => panic!("{other} is no key of a case"),
        }
    }
    assert!(!cases.is_empty(), "{file}: there are cases");
    cases
}

/// The code of a record with a line for the simulator's log.
const CODE_LOG: u16 = 70;
const FRAME_HEADER_BYTES: usize = 12;

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes([bytes[offset], bytes[offset + 1]])
}

fn u32_at(bytes: &[u8], offset: usize) -> usize {
    u32::from_le_bytes(bytes[offset..offset + 4].try_into().expect("four bytes")) as usize
}

/// The recorded words of a log line that the program writes in other words now. The simulator's
/// page leaves these words to the program; each line has to say the same of the same endpoint.
fn recorded_log_line(line: &str) -> String {
    if let Some(gossip) = line.strip_prefix("gossip message ignored: from forwarder ") {
        let (forwarder, error) = gossip.split_once(", ").expect("a problem");
        return format!("a note of forwarder {forwarder} is passed over: {error}");
    }
    let (event, rest) = line.split_once(": destination ").expect("a known event");
    let (destination, rest) = rest.split_once(", endpoint ").expect("an endpoint");
    let (address, reason) = rest.split_once(", ").unwrap_or((rest, ""));
    let (address, port) = address.split_once(':').expect("a port");
    port.parse::<u16>().expect("a port is a number");
    let recorded_event = match (event, reason) {
        ("endpoint ejected", "too many failures") => "set aside: most calls fail",
        ("endpoint ejected", "attempts stay unanswered") => "set aside: it keeps silent",
        ("endpoint ejected", "asked for a long retry-after") => "set aside: it is shut",
        ("endpoint readmitted", "") => "taken back: it answers",
        other => panic!("{other:?} was not recorded"),
    };
    format!("destination {destination} target {address} {recorded_event}")
}

/// A frame's records, those of log lines in the recorded words.
fn with_recorded_log_lines(mut records: &[u8]) -> Vec<u8> {
    let mut rewritten = Vec::new();
    while !records.is_empty() {
        let length = u32_at(records, 2);
        let (record, rest) = records.split_at(6 + length);
        records = rest;
        if u16_at(record, 0) != CODE_LOG {
            rewritten.extend(record);
            continue;
        }
        let text_length = usize::from(u16_at(record, 8));
        assert_eq!(length, 4 + text_length, "an instance and a text");
        let line = std::str::from_utf8(&record[10..]).expect("a log line is text");
        let recorded_line = recorded_log_line(line);
        rewritten.extend(CODE_LOG.to_le_bytes());
        rewritten.extend((4 + recorded_line.len() as u32).to_le_bytes());
        rewritten.extend(&record[6..8]);
        rewritten.extend((recorded_line.len() as u16).to_le_bytes());
        rewritten.extend(recorded_line.as_bytes());
    }
    rewritten
}

/// The program's output, its log lines in the recorded words.
fn output_with_recorded_log_lines(mut output: &[u8]) -> Vec<u8> {
    let mut rewritten = Vec::new();
    while output.len() >= FRAME_HEADER_BYTES {
        let length = u32_at(output, 0);
        let (frame, rest) = output.split_at(FRAME_HEADER_BYTES + length);
        output = rest;
        let records = with_recorded_log_lines(&frame[FRAME_HEADER_BYTES..]);
        rewritten.extend((records.len() as u32).to_le_bytes());
        rewritten.extend(&frame[4..FRAME_HEADER_BYTES]);
        rewritten.extend(records);
    }
    rewritten.extend(output);
    rewritten
}

fn assert_matches_recording(case: &Case) {
    let mut program = Command::new(PROGRAM)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut input = program.stdin.take().expect("its input");
    let input_bytes = case.input.clone();
    // The program ends at bad input: what follows may not be taken any more.
    let writer = std::thread::spawn(move || drop(input.write_all(&input_bytes)));
    let exit_output = program.wait_with_output().expect("it ends");
    writer.join().expect("the input is written");
    let name = &case.name;
    assert_eq!(
        String::from_utf8_lossy(&exit_output.stderr),
        case.expected_stderr,
        "{name}: words"
    );
    assert_eq!(
        exit_output.status.success(),
        case.expected_stderr.is_empty(),
        "{name}: exit status"
    );
    let replies = output_with_recorded_log_lines(&exit_output.stdout);
    let matching_bytes = replies
        .iter()
        .zip(&case.expected_replies)
        .take_while(|(actual, expected)| actual == expected);
    assert_eq!(
        (matching_bytes.count(), replies.len()),
        (case.expected_replies.len(), case.expected_replies.len()),
        "{name}: replies"
    );
}

#[test]
fn replies_to_batches_as_recorded() {
    read_cases("batches.txt")
        .iter()
        .for_each(assert_matches_recording);
}

#[test]
fn exits_with_recorded_error_on_bad_input() {
    read_cases("bad-input.txt")
        .iter()
        .for_each(assert_matches_recording);
}
