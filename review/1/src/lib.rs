//! The script of a case as a test.
