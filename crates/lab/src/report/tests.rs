use super::*;
use crate::experiments::simulate;
use crate::scenario::Scenario;
use crate::subject::ForwarderVariant;

#[test]
fn the_page_holds_everything_itself_and_escapes_what_it_is_given() {
    let text = "version = 1\nname = \"a <b> & c\"\nshows = \"s\"\nlasts = \"5s\"\n[[destinations]]\nname = \"d\"\nrate = 50.0\n\
         service = { kind = \"constant\", time = \"20ms\" }\n[[loads]]\nrate = 20.0\n[[troubles]]\nat = \"1s\"\n\
         lasts = \"1s\"\nwhat = { kind = \"silent\" }\n";
    let scenario = Scenario::read(text, "s").expect("it is right");
    let outcomes = [1, 2]
        .map(|seed| simulate(&scenario, seed, ForwarderVariant::SecondAnswer).expect("it runs"));
    let page = html(&outcomes).expect("it is drawn");
    assert_eq!(page.matches("<svg").count(), 8);
    assert!(page.contains("a &lt;b&gt; &amp; c") && !page.contains("<b>"));
    for outside in ["src=", "href=", "@import", "<script"] {
        assert!(!page.contains(outside), "{outside}");
    }
    assert!(page.contains("silent"));
}
