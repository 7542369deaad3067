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
    replies: Vec<u8>,
    words: String,
}

fn golden_file(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().filter(|digit| !digit.is_whitespace()).collect();
    let pairs = digits.chunks(2).map(|pair| pair.iter().collect::<String>());
    pairs.map(|pair| u8::from_str_radix(&pair, 16).expect("hexadecimal digits")).collect()
}

/// The cases of a file. Lines that begin with `#` are remarks.
fn cases(file: &str) -> Vec<Case> {
    let text = std::fs::read_to_string(golden_file(file)).expect("the golden file is readable");
    let mut cases: Vec<Case> = Vec::new();
    for line in text.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        let (key, value) = line.split_once(' ').unwrap_or((line, ""));
        if key == "case" {
            cases.push(Case { name: value.to_owned(), ..Case::default() });
            continue;
        }
        let case = cases.last_mut().expect("a case before its lines");
        match key {
            "input" => case.input.extend(bytes(value)),
            "input-text" => case.input.extend(value.as_bytes()),
            "reply" => case.replies.extend(bytes(value)),
            "words" => case.words = format!("{value}\n"),
            other => panic!("{other} is no key of a case"),
        }
    }
    assert!(!cases.is_empty(), "{file}: there are cases");
    cases
}

fn compare(case: &Case) {
    let mut program = Command::new(PROGRAM)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut input = program.stdin.take().expect("its input");
    let recorded = case.input.clone();
    // The program ends at bad input: what follows may not be taken any more.
    let writer = std::thread::spawn(move || drop(input.write_all(&recorded)));
    let ended = program.wait_with_output().expect("it ends");
    writer.join().expect("the input is written");
    let name = &case.name;
    assert_eq!(String::from_utf8_lossy(&ended.stderr), case.words, "{name}: words");
    assert_eq!(ended.status.success(), case.words.is_empty(), "{name}: exit status");
    let same = ended.stdout.iter().zip(&case.replies).take_while(|(actual, recorded)| actual == recorded);
    assert_eq!(
        (same.count(), ended.stdout.len()),
        (case.replies.len(), case.replies.len()),
        "{name}: replies"
    );
}

#[test]
fn batches_of_every_record_are_answered_as_recorded() {
    cases("batches.txt").iter().for_each(compare);
}

#[test]
fn bad_input_ends_the_program_with_the_recorded_words() {
    cases("bad-input.txt").iter().for_each(compare);
}
