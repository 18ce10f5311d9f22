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
pub(crate) struct ListedInstance {
    /// Metrics address.
    pub(crate) addr: SocketAddr,
    pub(crate) labels: Labels,
}

/// The instances to query.
#[derive(Clone, Debug)]
pub(crate) struct InstanceList {
    pub(crate) instances: Vec<ListedInstance>,
}

impl InstanceList {
    /// Reads a file with one instance per line: the metrics address, then labels as
    /// `KEY=VALUE`. Empty lines and lines that begin with `#` are skipped. Returns an
    /// error for an invalid line and for a list without instances.
    pub(crate) fn read(path: &Path) -> Result<Self, CtlError> {
        let text = read_file(path)?;
        let lines = text.lines().enumerate();
        let lines = lines.map(|(index, line)| (index + 1, line.trim()));
        let entries = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let instances = entries.map(|(number, line)| {
            line.parse().map_err(|cause| CtlError::InvalidListLine {
                path: path.to_owned(),
                line: number,
                cause,
            })
        });
        let instances: Vec<ListedInstance> = instances.collect::<Result<_, _>>()?;
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
            .retain(|instance| selector.matches(&instance.labels));
        self
    }
}

impl FromStr for ListedInstance {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let mut fields = line.split_whitespace();
        let addr = fields.next().unwrap_or_default();
        let addr = addr
            .parse()
            .map_err(|_| format!("{addr} is no address; write IP:PORT"))?;
        let labels = fields.map(|field| {
            let (key, value) = field
                .split_once('=')
                .ok_or_else(|| format!("{field} is no label; write KEY=VALUE"))?;
            Ok((key.to_owned(), value.to_owned()))
        });
        let labels = labels.collect::<Result<Labels, String>>()?;
        Ok(Self { addr, labels })
    }
}
