fn main() {
    let a: Vec<String> = std::env::args().collect();
    let s = opalpulley_lab::scenario::Scenario::load(std::path::Path::new(&a[1])).unwrap();
    let m: opalpulley_lab::subject::Make =
        clap::ValueEnum::from_str(a.get(2).map_or("true", |s| s), true).unwrap();
    for seed in 1..=4 {
        let t = std::time::Instant::now();
        let (o, w) = opalpulley_lab::sim::Sim::new(&s, seed, m).unwrap().run_until(u64::MAX, |_, _| {});
        println!(
            "{:?} {:?} served {:.4} {:?} {} {:?} {:?} misses {:?} falls {}",
            t.elapsed(),
            w,
            o.served_share(),
            o.counts,
            o.service,
            o.latency,
            o.breaks.first(),
            o.misses(),
            o.falls
        );
    }
}
