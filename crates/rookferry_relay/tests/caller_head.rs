//! The tokens that a request is counted with in an engine's cache: its prompt and half of
//! its answer, by the caller's estimate if there is one, else by the maximum.

use rookferry_relay::CallerHead;
use rstest::rstest;

#[rstest]
#[case::estimate(Some(40), 120.0)]
#[case::estimate_above_the_maximum(Some(4_000), 400.0)]
#[case::no_estimate(None, 400.0)]
fn held_tokens_are_the_prompt_and_half_of_the_expected_answer(
    #[case] expected_answer_tokens: Option<u32>,
    #[case] held_tokens: f64,
) {
    let head = CallerHead {
        prompt_tokens: 100,
        answer_tokens: 600,
        expected_answer_tokens,
        ..CallerHead::default()
    };
    assert!((head.held_tokens() - held_tokens).abs() < f64::EPSILON);
}
