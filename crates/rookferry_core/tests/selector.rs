//! Selectors: which labels they match, and the column of each parse error.

use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use rookferry_core::Selector;
use rookferry_wire::Labels;
use rstest::rstest;

fn labels() -> Labels {
    let pairs = [("tier", "gold"), ("zone", "k-1"), ("note", "two words")];
    pairs
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

#[rstest]
#[case("", true)]
#[case("tier", true)]
#[case("!tier", false)]
#[case("not absent", true)]
#[case("tier = gold", true)]
#[case("tier == silver", false)]
#[case("tier != silver", true)]
#[case("absent != silver", true)]
#[case("tier in (silver, gold)", true)]
#[case("tier notin (silver, gold)", false)]
#[case("absent notin (x)", true)]
#[case("tier = gold, zone = k-2", false)]
#[case("tier = gold and zone = k-1", true)]
#[case("tier = silver or zone = k-1", true)]
#[case("tier = silver or zone = k-1 and absent", false)]
#[case("(tier = silver or zone = k-1) and not absent", true)]
#[case("note = \"two words\"", true)]
fn a_selector_matches_as_written(#[case] text: &str, #[case] expected: bool) {
    let selector: Selector = text.parse().expect("a valid selector");
    assert_eq!(selector.matches(&labels()), expected);
    assert_eq!(selector.text(), text);
}

#[rstest]
#[case("tier =", 7)]
#[case("tier = gold zone", 13)]
#[case("tier in gold", 9)]
#[case("tier in (gold", 14)]
#[case("(tier", 6)]
#[case("tier & zone", 6)]
#[case("note = \"open", 8)]
#[case("a and", 6)]
fn a_parse_error_names_its_column(#[case] text: &str, #[case] column: usize) {
    let error = text.parse::<Selector>().expect_err("an error");
    assert_eq!(error.column, column, "{error}");
}

#[test]
fn nesting_is_bounded() {
    let text = format!("{}a{}", "(".repeat(10_000), ")".repeat(10_000));
    assert!(text.parse::<Selector>().is_err());
}

proptest! {
    #[test]
    fn any_text_is_parsed_or_refused(text in any::<String>()) {
        if let Err(error) = text.parse::<Selector>() {
            prop_assert!(error.column >= 1 && error.column <= text.chars().count() + 1);
        }
    }
}
