//! The list of instances to query, read from a file.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use rookferry_core::Selector;
use rookferry_wire::Labels;

use crate::error::CtlError;
use crate::error::read_file;

/// An instance of the list, with the labels that the operator gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Listed {
    /// Metrics address.
    pub(crate) addr: SocketAddr,
    pub(crate) labels: Labels,
}

/// The instances to query.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    pub(crate) instances: Vec<Listed>,
}

impl Roster {
    /// Reads a file with one instance per line: the metrics address, then labels as
    /// `KEY=VALUE`. Empty lines and lines that begin with `#` are skipped. Returns an
    /// error for an invalid line and for a list without instances.
    pub(crate) fn read(path: &Path) -> Result<Self, CtlError> {
        let text = read_file(path)?;
        let lines = text.lines().enumerate();
        let lines = lines.map(|(index, line)| (index + 1, line.trim()));
        let told = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let instances = told.map(|(number, line)| {
            line.parse().map_err(|cause| CtlError::Roster {
                path: path.to_owned(),
                line: number,
                cause,
            })
        });
        let instances: Vec<Listed> = instances.collect::<Result<_, _>>()?;
        if instances.is_empty() {
            return Err(CtlError::NoInstances {
                path: path.to_owned(),
            });
        }
        Ok(Self { instances })
    }

    /// Retains the instances whose labels match.
    #[must_use]
    pub(crate) fn matching(mut self, selector: &Selector) -> Self {
        self.instances
            .retain(|listed| selector.matches(&listed.labels));
        self
    }
}

impl FromStr for Listed {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let mut words = line.split_whitespace();
        let addr = words.next().unwrap_or_default();
        let addr = addr
            .parse()
            .map_err(|_| format!("{addr} is no address; write IP:PORT"))?;
        let labels = words.map(|word| {
            let (key, value) = word
                .split_once('=')
                .ok_or_else(|| format!("{word} is no label; write KEY=VALUE"))?;
            Ok((key.to_owned(), value.to_owned()))
        });
        let labels = labels.collect::<Result<Labels, String>>()?;
        Ok(Self { addr, labels })
    }
}
