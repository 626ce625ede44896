"""LoadFeature: optional behaviour under load and failure that a deployment enables."""

import enum

FEATURES_VARIABLE = "HAWTHORNBARROW_FEATURES"


class InvalidFeatureError(ValueError):
    """The setting names a feature that does not exist."""


class LoadFeature(enum.StrEnum):
    """Features that are off unless a deployment's settings name them."""

    UPSTREAM_DIRECTORY = "upstream-directory"
    GAP_WAITING = "gap-waiting"
    EARLY_REFUSAL = "early-refusal"
    SHARES = "shares"
    FORECAST = "forecast"
    RETURN_PLAN = "return-plan"
    RUN_TIME_TAILS = "run-time-tails"
    FAST_TAKEOVER = "fast-takeover"
    FAST_RESTART = "fast-restart"
    ENTRY_RELAYS = "entry-relays"


NO_FEATURES: frozenset[LoadFeature] = frozenset()


def parse_features(text: str) -> frozenset[LoadFeature]:
    """Returns the features that a setting names, separated by commas.

    Raises:
        InvalidFeatureError: A name is unknown.
    """
    names = [name.strip() for name in text.split(",")]
    try:
        return frozenset(LoadFeature(name) for name in names if name)
    except ValueError as error:
        known = ", ".join(feature.value for feature in LoadFeature)
        raise InvalidFeatureError(f"{error}; known features: {known}") from error
