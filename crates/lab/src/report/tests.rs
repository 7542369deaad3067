use super::*;
use crate::experiments::simulate;
use crate::scenario::Scenario;
use crate::subject::ForwarderVariant;

#[test]
fn page_is_self_contained_and_escapes_its_texts() {
    let toml = "version = 1\nname = \"a <b> & c\"\nshows = \"s\"\nlasts = \"5s\"\n[[destinations]]\nname = \"d\"\nrate = 50.0\n\
         service = { kind = \"constant\", time = \"20ms\" }\n[[loads]]\nrate = 20.0\n[[troubles]]\nat = \"1s\"\n\
         lasts = \"1s\"\nwhat = { kind = \"silent\" }\n";
    let scenario = Scenario::read(toml, "s").expect("the scenario should be valid");
    let outcomes = [1, 2].map(|seed| {
        simulate(&scenario, seed, ForwarderVariant::SecondAnswer).expect("the scenario should run")
    });
    let page = html(&outcomes).expect("the plots should be drawn");
    assert_eq!(page.matches("<svg").count(), 8);
    assert!(page.contains("a &lt;b&gt; &amp; c") && !page.contains("<b>"));
    for external_reference in ["src=", "href=", "@import", "<script"] {
        assert!(
            !page.contains(external_reference),
            "the page should not contain {external_reference}"
        );
    }
    assert!(page.contains("silent"));
}
