//! Tests of the examples in the simulator's protocol document, and of the errors for bad input.

use super::*;
use crate::frame::read_batch;
use opalpulley::{MessageId, TimerToken};

const EMPTY_BATCH: &str = "00000000000000005a5c80000000000001000000";
const START_OBJECT: &str = r#"{"Balancers": 2, "Domain": {"Fades": "halving", "PerCall": [1], "RoutesApart": [false],
    "Workers": 3, "ZoneFee": [0.0], "New": 1}, "HostTypes": ["any"], "Limits": {"MaxAttempts": 6, "MaxOpen": 9,
    "RetryAfter": true}, "Me": 3, "Profiles": [{"Effect": "free", "GoalTimeUs": 1000000, "HardLimitUs": 9000000,
    "Points": 1.0}], "QuantumUs": 5000, "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.2, "DrainGraceUs": 500000,
    "FallMultiple": 2.0, "OverloadForUs": 2000000, "WarmAfterUs": 9000000}, "Weights": "nominal"}"#;

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|c| c.to_digit(16)).collect();
    digits
        .chunks(2)
        .map(|pair| (pair[0] * 16 + pair[1]) as u8)
        .collect()
}

fn encode_record(code: u16, fields: &[u8]) -> Vec<u8> {
    [
        &code.to_le_bytes()[..],
        &(fields.len() as u32).to_le_bytes(),
        fields,
    ]
    .concat()
}

fn encode_batch(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut frame = (records.len() as u32).to_le_bytes().to_vec();
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(decode_hex("5a5c800000000000 0c000000"));
    frame.extend(body);
    frame
}

fn encode_instance_start() -> Vec<u8> {
    let mut fields = decode_hex("0300 0100000000000000");
    fields.extend((START_OBJECT.len() as u32).to_le_bytes());
    fields.extend(START_OBJECT.as_bytes());
    encode_record(10, &fields)
}

fn handle_frame(host: &mut Host, frame: &[u8]) -> Result<Vec<u8>, WireError> {
    let mut body = Vec::new();
    let header = read_batch(&mut &frame[..], &mut body)?.expect("the input contains a frame");
    host.handle_batch(header, &body)
}

fn error_message(frame: &[u8]) -> String {
    handle_frame(&mut Host::default(), frame)
        .expect_err("the frame must be rejected")
        .to_string()
}

#[test]
fn replies_to_empty_batch_with_empty_frame() {
    let reply = handle_frame(&mut Host::default(), &decode_hex(EMPTY_BATCH))
        .expect("an empty batch is valid");
    assert_eq!(reply, decode_hex("00000000 00000000 01000000"));
}

#[test]
fn decodes_examples_of_protocol_document() {
    let list = encode_record(
        11,
        &decode_hex(
            "00000000 02000000 0000 0a124a07 931f 0000000000000000 00 0000803f 3900 0000
             0000 0a9011f2 bc1f 20145d0000000000 00 0000c03f 3900 0000",
        ),
    );
    let endpoints = encode_record(1, &decode_hex("0300 00000000 02 2900000000000000"));
    let submission = encode_record(
        9,
        &decode_hex("0300 c4913a5d 0000 00000000 640ad2557c3bf091 80a90300 e02e0000 00006442 01"),
    );
    let timer = encode_record(3, &decode_hex("0300 4d000000"));
    let unknown = encode_record(999, &decode_hex("0300"));
    let withdrawn = encode_record(8, &decode_hex("0300 192b6f0e"));
    let mut host = Host::default();
    let reply = handle_frame(
        &mut host,
        &encode_batch(&[
            encode_instance_start(),
            list,
            endpoints,
            submission,
            timer,
            unknown,
            withdrawn,
        ]),
    )
    .expect("all records are valid");
    // The reply must contain an attempt at message 0x5d3a91c4 at one of the two endpoints of destination 57.
    let start_attempt = decode_hex("4200 10000000 0300 c4913a5d");
    let endpoints = [decode_hex("0a124a07 931f"), decode_hex("0a9011f2 bc1f")];
    let is_start_attempt = |window: &[u8]| {
        window.starts_with(&start_attempt)
            && endpoints.iter().any(|endpoint| window.ends_with(endpoint))
    };
    assert!(
        reply.windows(start_attempt.len() + 6).any(is_start_attempt),
        "expected an attempt at an endpoint of the destination, got {reply:02x?}"
    );
    let attempt_ended = decode_hex("0300 c4913a5d 00 0a124a07 931f c800 44480000 01 00000000 00");
    let restart = [
        encode_record(4, &attempt_ended),
        encode_record(5, &decode_hex("0300")),
        encode_instance_start(),
        encode_record(3, &decode_hex("0300 01000000")),
    ];
    handle_frame(&mut host, &encode_batch(&restart))
        .expect("an instance may end and start again in one batch");
}

#[test]
fn encodes_actions_as_in_protocol_document() {
    let mut reply = Reply::default();
    let endpoint = opalpulley::EndpointId {
        address: [10, 18, 74, 7],
        port: 8083,
        incarnation: 0,
    };
    let id = MessageId(0x5d3a91c4);
    reply
        .push_action(
            3,
            &Action::StartAttempt {
                id,
                endpoint,
                timeout: Some(80_000),
                send_by: 90_000,
            },
        )
        .expect("all values fit their fields");
    reply
        .push_action(
            3,
            &Action::SetTimer {
                delay: 500_000,
                token: TimerToken(0x4d),
            },
        )
        .expect("all values fit their fields");
    reply
        .push_log_line(5, "two servers known")
        .expect("all values fit their fields");
    let expected = "41000000 03000000 0c000000
        4200 10000000 0300 c4913a5d 0a124a07 931f 80380100
        4900 0a000000 0300 20a10700 4d000000
        4600 15000000 0500 1100 74776f2073657276657273206b6e6f776e";
    assert_eq!(
        reply.encode(12).expect("all values fit their fields"),
        decode_hex(expected)
    );
    assert!(reply
        .push_action(
            3,
            &Action::SetTimer {
                delay: u64::MAX,
                token: TimerToken(1)
            }
        )
        .is_err());
}

#[test]
fn error_names_record_and_cause() {
    assert!(error_message(&decode_hex(&EMPTY_BATCH[..20])).contains("batch header"));
    assert!(error_message(&decode_hex(
        "01000000 ffffffff 5a5c800000000000 01000000 00"
    ))
    .contains("4294967295 bytes wanted"));
    assert!(
        error_message(&encode_batch(&[decode_hex("0300 ff000000 0300")]))
            .contains("record at byte 0")
    );
    assert!(error_message(&encode_batch(&[encode_record(
        3,
        &decode_hex("0300 4d000000")
    )]))
    .contains("Due at byte 0"));
    assert!(error_message(&encode_batch(&[encode_record(
        11,
        &decode_hex("00000000 ffffffff")
    )]))
    .contains("Register"));
    assert!(error_message(&encode_batch(&[encode_record(
        10,
        &decode_hex("0300 0000000000000000 01000000 7b")
    )]))
    .contains("not valid"));
    let outcome = encode_record(
        4,
        &decode_hex("0300 c4913a5d 00 0a124a07 931f 0100 44480000 01 00000000 00"),
    );
    assert!(
        error_message(&encode_batch(&[encode_instance_start(), outcome]))
            .contains("no outcome has the code 1")
    );
    let list_update = encode_record(1, &decode_hex("0300 00000000 09 2900000000000000"));
    assert!(
        error_message(&encode_batch(&[encode_instance_start(), list_update]))
            .contains("no list has the kind 9")
    );
}
