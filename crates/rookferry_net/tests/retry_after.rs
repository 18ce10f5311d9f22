//! Parsing of the `Retry-After` header: valid, out-of-range and invalid values.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use rookferry_net::parse_retry_after;
use rstest::rstest;

const DAY: Duration = Duration::from_hours(24);

fn headers(value: &[u8]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(value).expect("a value");
    headers.insert(http::header::RETRY_AFTER, value);
    headers
}

#[rstest]
#[case::seconds("3", Duration::from_secs(3))]
#[case::a_fraction("0.25", Duration::from_millis(250))]
#[case::none("0", Duration::ZERO)]
#[case::spaces(" 2 ", Duration::from_secs(2))]
#[case::days("864000", DAY)]
#[case::more_than_a_number_holds("99999999999999999999999999", DAY)]
#[case::a_date_gone_by("Sun, 06 Nov 1994 08:49:37 GMT", Duration::ZERO)]
#[case::a_date_far_off("Tue, 01 Jan 2999 00:00:00 GMT", DAY)]
fn valid_values_are_parsed_and_bounded(#[case] value: &str, #[case] wait: Duration) {
    assert_eq!(
        parse_retry_after(&headers(value.as_bytes())),
        Ok(Some(wait))
    );
}

#[rstest]
#[case::nothing(b"")]
#[case::a_word(b"soon")]
#[case::a_sign(b"-3")]
#[case::not_a_number(b"NaN")]
#[case::infinite(b"inf")]
#[case::an_exponent(b"1e3")]
#[case::a_point(b".")]
#[case::two_points(b"1.2.3")]
#[case::a_unit(b"3s")]
#[case::a_list(b"3, 4")]
#[case::bytes(b"\xff\xfe")]
fn invalid_values_are_errors(#[case] value: &[u8]) {
    assert!(parse_retry_after(&headers(value)).is_err());
}

#[test]
fn a_response_without_the_header_requests_no_backoff() {
    assert_eq!(parse_retry_after(&HeaderMap::new()), Ok(None));
}

#[test]
fn a_date_is_relative_to_the_date_header() {
    let mut headers = headers(b"Sun, 06 Nov 1994 08:49:42 GMT");
    let date = HeaderValue::from_static("Sun, 06 Nov 1994 08:49:37 GMT");
    headers.insert(http::header::DATE, date);
    assert_eq!(
        parse_retry_after(&headers),
        Ok(Some(Duration::from_secs(5)))
    );
}
