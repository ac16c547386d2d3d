//! Provides `explain`: what the rules say of a described request.

use std::process::ExitCode;

use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::explain::RequestExplanation;
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::name::NameError;
use bergamotswitch_core::pool::PoolName;
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::rules::{RequestAttributes, WorkKind};

use super::args::ExplainArgs;
use super::error::CommandError;
use super::files;
use super::output::write_out;

/// The path that a request is taken to have where none is given.
const DEFAULT_PATH: &str = "/v1/chat/completions";

/// Print which rule matches, why earlier ones do not, and where the request
/// may run. Exit 1 where no rule matches.
pub(super) fn explain(args: &ExplainArgs) -> Result<ExitCode, CommandError> {
    let publication = files::read_deployment(&args.deployment)?;
    let pool = PoolName::try_from(args.pool.as_str()).map_err(|error| named("--pool", error))?;
    let account =
        AccountName::try_from(args.account.as_str()).map_err(|error| named("--account", error))?;
    let work = args.work.as_deref().map(WorkKind::try_from).transpose();
    let work = work.map_err(|error| named("--work", error))?;
    let domain = domain(args, &publication)?;
    let facts = RequestAttributes {
        pool: &pool,
        account: &account,
        work: work.as_ref(),
        path: args.path.as_deref().unwrap_or(DEFAULT_PATH),
        domain: &domain,
        prompt_tokens: args.prompt_tokens,
        streaming: args.streaming,
    };
    let explanation = RequestExplanation::of(&publication, &facts);
    write_out(&format!("{explanation}\n"))?;
    match explanation.verdict.is_some() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(1)),
    }
}

fn named(option: &str, error: NameError) -> CommandError {
    CommandError::Usage(format!("option {option}: {error}"))
}

fn domain(args: &ExplainArgs, publication: &Publication) -> Result<DomainName, CommandError> {
    if let Some(name) = args.domain.as_deref() {
        return DomainName::try_from(name).map_err(|error| named("--domain", error));
    }
    let first = publication.domains.domains().first();
    let domain = first.map(|domain| domain.name.clone());
    domain.ok_or_else(|| CommandError::Usage("the deployment has no failure domain".into()))
}
