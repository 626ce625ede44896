"""Configuration: a base file and one overlay per site, validated as a whole."""

from hawthornbarrow.configuration._files import (
    ConfigurationProblem,
    read_configuration,
)
from hawthornbarrow.configuration._model import (
    Configuration,
    Limits,
    Member,
    Objective,
    Service,
    Tuning,
    decode_configuration,
    encode_configuration,
    hash_token,
)

__all__ = [
    "Configuration",
    "ConfigurationProblem",
    "Limits",
    "Member",
    "Objective",
    "Service",
    "Tuning",
    "decode_configuration",
    "encode_configuration",
    "hash_token",
    "read_configuration",
]
