//! Tests that the program's replies do not change between versions. Recorded batches go to its standard input; the
//! bytes of its standard output, and its error message for bad input, are compared with the recorded ones.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_opalpulley-simhost");

/// One run of the program: its input and its expected output.
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
        .map(|pair| {
            u8::from_str_radix(&pair, 16).expect("the text contains hexadecimal digits only")
        })
        .collect()
}

/// Reads the cases of a golden file. Lines that begin with `#` are comments.
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
        let case = cases
            .last_mut()
            .expect("a `case` line comes before the other lines");
        match key {
            "input" => case.input.extend(decode_hex(value)),
            "input-text" => case.input.extend(value.as_bytes()),
            "reply" => case.expected_replies.extend(decode_hex(value)),
            "words" => case.expected_stderr = format!("{value}\n"),
            other => panic!(
                "unknown key {other}; expected `case`, `input`, `input-text`, `reply` or `words`"
            ),
        }
    }
    assert!(!cases.is_empty(), "{file} must contain cases");
    cases
}

/// Code of a record that adds a line to the simulator's log.
const CODE_LOG: u16 = 70;
/// Size of the header of a reply, in bytes.
const FRAME_HEADER_BYTES: usize = 12;

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes([bytes[offset], bytes[offset + 1]])
}

fn u32_at(bytes: &[u8], offset: usize) -> usize {
    u32::from_le_bytes(
        bytes[offset..offset + 4]
            .try_into()
            .expect("the slice has four bytes"),
    ) as usize
}

/// Converts a log line to the wording of the recording, which an earlier version wrote. The simulator's protocol leaves
/// the wording to the program, so it may change, but each line must name the same event and the same endpoint or
/// forwarder.
fn recorded_log_line(line: &str) -> String {
    if let Some(gossip) = line.strip_prefix("gossip message ignored: from forwarder ") {
        let (forwarder, error) = gossip
            .split_once(", ")
            .expect("the line names the decoding error");
        return format!("a note of forwarder {forwarder} is passed over: {error}");
    }
    let (event, rest) = line
        .split_once(": destination ")
        .expect("the line names an event and a destination");
    let (destination, rest) = rest
        .split_once(", endpoint ")
        .expect("the line names an endpoint");
    let (address, reason) = rest.split_once(", ").unwrap_or((rest, ""));
    let (address, port) = address.split_once(':').expect("the endpoint has a port");
    port.parse::<u16>().expect("the port is a 16-bit number");
    let recorded_event = match (event, reason) {
        ("endpoint ejected", "too many failures") => "set aside: most calls fail",
        ("endpoint ejected", "attempts stay unanswered") => "set aside: it keeps silent",
        ("endpoint ejected", "asked for a long retry-after") => "set aside: it is shut",
        ("endpoint readmitted", "") => "taken back: it answers",
        other => panic!("no recorded wording for the event {other:?}"),
    };
    format!("destination {destination} target {address} {recorded_event}")
}

/// Returns the records of a frame with the log lines converted to the wording of the recording.
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
        assert_eq!(
            length,
            4 + text_length,
            "a log record contains an instance number and a text"
        );
        let line = std::str::from_utf8(&record[10..]).expect("a log line is UTF-8");
        let recorded_line = recorded_log_line(line);
        rewritten.extend(CODE_LOG.to_le_bytes());
        rewritten.extend((4 + recorded_line.len() as u32).to_le_bytes());
        rewritten.extend(&record[6..8]);
        rewritten.extend((recorded_line.len() as u16).to_le_bytes());
        rewritten.extend(recorded_line.as_bytes());
    }
    rewritten
}

/// Returns the program's output with the log lines converted to the wording of the recording.
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
    let mut input = program.stdin.take().expect("standard input is piped");
    let input_bytes = case.input.clone();
    // The program exits at bad input and may not read the rest, so a failed write is ignored.
    let writer = std::thread::spawn(move || drop(input.write_all(&input_bytes)));
    let exit_output = program.wait_with_output().expect("the program exits");
    writer.join().expect("the writer does not panic");
    let name = &case.name;
    assert_eq!(
        String::from_utf8_lossy(&exit_output.stderr),
        case.expected_stderr,
        "{name}: standard error must be as recorded"
    );
    assert_eq!(
        exit_output.status.success(),
        case.expected_stderr.is_empty(),
        "{name}: the program must fail exactly if an error message is recorded"
    );
    let replies = output_with_recorded_log_lines(&exit_output.stdout);
    let matching_bytes = replies
        .iter()
        .zip(&case.expected_replies)
        .take_while(|(actual, expected)| actual == expected);
    assert_eq!(
        (matching_bytes.count(), replies.len()),
        (case.expected_replies.len(), case.expected_replies.len()),
        "{name}: standard output must be as recorded (bytes that match, length)"
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
