use super::descriptors::{MIN_DESCRIPTORS, RESERVED_DESCRIPTORS};
use super::*;
use quickcheck::{Gen, QuickCheck};

const EXAMPLE: &str = include_str!("../../../../examples/papers.json");

fn parse(text: &str, variables: &[(&str, &str)]) -> Result<StartupConfig, ConfigError> {
    let state_dir = std::env::temp_dir().display().to_string();
    let variables: Vec<(&str, &str)> = [&[("GW_STATE", state_dir.as_str())], variables].concat();
    StartupConfig::parse(text.as_bytes(), |key| {
        variables
            .iter()
            .find(|(variable, _)| *variable == key)
            .map(|(_, value)| value.to_string())
    })
}

#[test]
fn environment_overrides_file_and_missing_keys_use_defaults() {
    let startup = parse(EXAMPLE, &[("GW_LISTEN", "127.0.0.1:9"), ("GW_NAME", "n7")])
        .expect("the configuration is valid");
    assert_eq!(
        (
            startup.listen.port(),
            startup.discovery.port(),
            startup.name.as_str()
        ),
        (9, 8500, "n7")
    );
    assert_eq!(
        (startup.seed, startup.journal_bytes),
        (0x8c1f_30d2_7a5b_e964, 3_000_000)
    );
    let memory_limited = parse(
        &EXAMPLE
            .replace("192", "8")
            .replace("\"disk_mb\": 3", "\"disk_mb\": 90"),
        &[],
    )
    .expect("the configuration is valid");
    assert_eq!(
        memory_limited.journal_bytes, 2_000_000,
        "expected a quarter of the memory limit for the journal, because its files count as memory"
    );
    let without_limits = EXAMPLE.replace(
        r#""limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},"#,
        "",
    );
    let defaults = parse(&without_limits, &[]).expect("the configuration is valid");
    assert_eq!(
        (defaults.journal_bytes, defaults.max_client_connections),
        (startup.journal_bytes, startup.max_client_connections)
    );
}

/// Client connections may take half of the memory limit: a quarter for bodies and a quarter for read buffers, of which
/// each connection keeps the smallest possible even if they are more.
#[test]
fn client_memory_follows_memory_limit() {
    for (memory_mb, connections, read_buffer_bytes) in
        [(192, 660, 32 * 1024), (64, 400, 20_000), (32, 660, 8192)]
    {
        let memory = ClientMemory::new(memory_mb * 1_000_000, connections);
        assert_eq!(
            memory,
            ClientMemory {
                body_budget_bytes: memory_mb * 250_000,
                read_buffer_bytes,
            },
            "{connections} connections at {memory_mb} MB"
        );
    }
    let startup = parse(EXAMPLE, &[]).expect("the configuration is valid");
    assert_eq!(startup.client_memory.body_budget_bytes, 48_000_000);
}

/// Guards against a reload that changes the limit on memory without a warning, although it takes effect only at the next
/// start. The journal is the same at both limits.
#[test]
fn compares_the_memory_limit_at_a_reload() {
    let startup = parse(EXAMPLE, &[]).expect("the configuration is valid");
    let with_less_memory = parse(&EXAMPLE.replace("192", "64"), &[]);
    let with_less_memory = with_less_memory.expect("the configuration is valid");
    assert_eq!(startup.journal_bytes, with_less_memory.journal_bytes);
    assert!(startup.compared() != with_less_memory.compared());
}

/// The allocated descriptors never exceed the limit, and attempts and clients each get at least one, whatever the
/// concurrency limit.
#[test]
fn descriptor_allocation_never_exceeds_limit() {
    fn allocation_fits(descriptors: u16, concurrency_limit: u16) -> bool {
        let text = EXAMPLE
            .replace(
                r#""sockets": 1024"#,
                &format!(r#""sockets": {descriptors}"#),
            )
            .replace(
                r#""Workers": 16"#,
                &format!(r#""Workers": {}"#, concurrency_limit.max(1)),
            );
        match parse(&text, &[]) {
            Ok(startup) => {
                let attempts = startup.settings.config.concurrency_limit as usize;
                let allocated = RESERVED_DESCRIPTORS
                    + attempts
                    + startup.max_body_connections
                    + startup.max_client_connections;
                allocated <= usize::from(descriptors)
                    && attempts >= 1
                    && startup.max_client_connections >= 1
            }
            Err(error) => {
                usize::from(descriptors) < MIN_DESCRIPTORS && error.key.ends_with("limits.sockets")
            }
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(2_000, 20_261_201))
        .tests(400)
        .quickcheck(allocation_fits as fn(u16, u16) -> bool);
}
