//! The operator file as the daemon finds it.

use garnetdoor::host::Settings;
use garnetdoor_operator as file;

use crate::wire::client::Profiles;

pub use garnetdoor_operator::OperatorConfig;

/// The variable that names the file where the command line does not.
const VARIABLE: &str = "GARNETDOOR_OPERATOR";

/// Reads and checks the file at a path, else the one that `GARNETDOOR_OPERATOR` names; with neither, all is off.
/// With the platform's settings at hand its profiles are checked too. Reports faults as lines.
pub fn read(path: Option<&str>, settings: Option<&Settings>) -> Result<OperatorConfig, Vec<String>> {
    let named =
        path.map(str::to_owned).or_else(|| std::env::var(VARIABLE).ok().filter(|path| !path.is_empty()));
    let Some(path) = named else { return Ok(OperatorConfig::default()) };
    let text = std::fs::read_to_string(&path);
    let text =
        text.map_err(|error| vec![format!("{path}: found {error}, expected a file that can be read")])?;
    let profiles = settings.map(Profiles::names);
    file::parse(&text, profiles.as_deref())
        .map_err(|faults| faults.iter().map(|f| format!("{path}: {f}")).collect())
}
