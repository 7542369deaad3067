use super::*;
use quickcheck::{Gen, QuickCheck};

const EXAMPLE: &str = include_str!("../../../../examples/papers.json");

fn read(text: &str, vars: &[(&str, &str)]) -> Result<StartupConfig, ConfigError> {
    let state = std::env::temp_dir().display().to_string();
    let vars: Vec<(&str, &str)> = [&[("GW_STATE", state.as_str())], vars].concat();
    StartupConfig::parse(text.as_bytes(), |key| {
        vars.iter()
            .find(|(k, _)| *k == key)
            .map(|(_, v)| v.to_string())
    })
}

#[test]
fn a_variable_goes_before_the_file_and_what_is_left_out_has_a_default() {
    let startup = read(EXAMPLE, &[("GW_LISTEN", "127.0.0.1:9"), ("GW_NAME", "n7")])
        .expect("a good configuration");
    assert_eq!(
        (
            startup.listen.port(),
            startup.discovery.port(),
            startup.name.as_str()
        ),
        (9, 8500, "n7")
    );
    assert_eq!(
        (startup.seed, startup.disk),
        (0x8c1f_30d2_7a5b_e964, 3_000_000)
    );
    let small = read(
        &EXAMPLE
            .replace("192", "8")
            .replace("\"disk_mb\": 3", "\"disk_mb\": 90"),
        &[],
    )
    .expect("a good configuration");
    assert_eq!(small.disk, 2_000_000, "files count as memory");
    let bare = EXAMPLE.replace(
        r#""limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},"#,
        "",
    );
    let defaults = read(&bare, &[]).expect("a good configuration");
    assert_eq!(
        (defaults.disk, defaults.client_sockets),
        (startup.disk, startup.client_sockets)
    );
}

/// Guards the limit on descriptors, whatever the slots: the shares add up to it and none is empty.
#[test]
fn the_shares_of_descriptors_never_exceed_the_limit() {
    fn run(sockets: u16, slots: u16) -> bool {
        let text = EXAMPLE
            .replace(r#""sockets": 1024"#, &format!(r#""sockets": {sockets}"#))
            .replace(
                r#""Workers": 16"#,
                &format!(r#""Workers": {}"#, slots.max(1)),
            );
        match read(&text, &[]) {
            Ok(startup) => {
                let told = startup.settings.config.concurrency_limit as usize;
                let all = OWN_SOCKETS + told + startup.idle_sockets + startup.client_sockets;
                all <= usize::from(sockets) && told >= 1 && startup.client_sockets >= 1
            }
            Err(problem) => {
                usize::from(sockets) < FEWEST_SOCKETS && problem.key.ends_with("limits.sockets")
            }
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(2_000, 20_261_201))
        .tests(400)
        .quickcheck(run as fn(u16, u16) -> bool);
}
