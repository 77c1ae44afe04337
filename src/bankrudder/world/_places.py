"""Data centres, and the data classes that restrict where records are processed."""

import msgspec

from bankrudder.world._ids import DataCentreName, DataClassName, RegionName


class DataCentre(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A data centre and the region that it belongs to."""

    name: DataCentreName
    region: RegionName


class DataClass(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A class of records and the data centres that may process them."""

    name: DataClassName
    allowed_data_centres: tuple[DataCentreName, ...]
