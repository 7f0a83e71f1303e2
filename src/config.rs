//! The configuration file of a node, as typed settings.

use std::io;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::net::discovery::parser::EndpointList;
use crate::protocol::settings::SettingsDocument;

/// The environment variable that names the configuration file.
const PATH_VARIABLE: &str = "PROXY_CONFIG";

/// Why there is no usable configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no configuration file.
    #[error("{PATH_VARIABLE} names no configuration")]
    NoPath,
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// What the system reports.
        source: io::Error,
    },
    /// The file is not the JSON expected.
    #[error("the configuration is malformed: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A setting is not an address and port.
    #[error("{setting}: {text:?} is no address")]
    Address {
        /// The setting.
        setting: &'static str,
        /// Its value.
        text: String,
    },
    /// The seed is not a number.
    #[error("seed: {0:?} is no hexadecimal number of 64 bits")]
    Seed(String),
}

/// The configuration that a node starts with.
pub struct Config {
    /// Where the node accepts connections.
    pub listen_address: SocketAddr,
    /// The services that the node calls.
    pub services: ServiceAddresses,
    /// Seed of the node's random numbers.
    pub seed: u64,
    /// How many file descriptors the process may use.
    pub max_descriptors: usize,
    /// The endpoint list as the node last had it; it may be out of date.
    pub known_endpoints: EndpointList,
    /// The settings of the decisions, of requests and of connections.
    pub settings: SettingsDocument,
}

/// The addresses of the services that a node calls: the part of the configuration that may change while it runs.
pub struct ServiceAddresses {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The counter service; none if the node does without.
    pub counter: Option<SocketAddr>,
}

/// The file as it is written. Error messages name these types.
mod file {
    use serde::Deserialize;

    use crate::net::discovery::parser::EndpointList;
    use crate::protocol::settings::SettingsDocument;

    /// How many file descriptors the process may use where the file does not say.
    const DEFAULT_SOCKETS: usize = 1024;

    #[derive(Deserialize)]
    pub struct Config {
        pub listen: String,
        pub discovery: String,
        #[serde(default)]
        pub counter: Option<String>,
        pub seed: String,
        #[serde(default)]
        pub limits: Limits,
        #[serde(default)]
        pub known: EndpointList,
        pub settings: SettingsDocument,
    }

    /// The part of the file that is read again on a reload. Nothing else in it has to be valid then.
    #[derive(Deserialize)]
    pub struct Peers {
        pub discovery: String,
        #[serde(default)]
        pub counter: Option<String>,
    }

    /// What the process may use.
    #[derive(Deserialize)]
    #[serde(default)]
    pub struct Limits {
        pub sockets: usize,
    }

    impl Default for Limits {
        fn default() -> Self {
            Limits { sockets: DEFAULT_SOCKETS }
        }
    }
}

/// The path of the configuration file, as the environment names it.
///
/// # Errors
/// If the environment names none.
pub fn path_from_environment() -> Result<String, ConfigError> {
    std::env::var(PATH_VARIABLE).map_err(|_| ConfigError::NoPath)
}

impl Config {
    /// Reads the configuration file at this path.
    ///
    /// # Errors
    /// If the file can't be read, or is not a valid configuration.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        let file: file::Config = read_json(path)?;
        Ok(Config {
            listen_address: parse_address("listen", &file.listen)?,
            services: ServiceAddresses::parse(&file.discovery, file.counter.as_deref())?,
            seed: parse_seed(&file.seed)?,
            max_descriptors: file.limits.sockets,
            known_endpoints: file.known,
            settings: file.settings,
        })
    }
}

impl ServiceAddresses {
    /// Reads the addresses alone from the configuration file at this path.
    ///
    /// # Errors
    /// If the file can't be read, or holds no valid addresses.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        let file: file::Peers = read_json(path)?;
        ServiceAddresses::parse(&file.discovery, file.counter.as_deref())
    }

    fn parse(discovery: &str, counter: Option<&str>) -> Result<Self, ConfigError> {
        Ok(ServiceAddresses {
            discovery: parse_address("discovery", discovery)?,
            counter: counter.map(|text| parse_address("counter", text)).transpose()?,
        })
    }
}

fn read_json<T: DeserializeOwned>(path: &str) -> Result<T, ConfigError> {
    let text =
        std::fs::read(path).map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
    serde_json::from_slice(&text).map_err(ConfigError::Malformed)
}

fn parse_address(setting: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { setting, text: text.to_owned() })
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::Seed(text.to_owned()))
}
