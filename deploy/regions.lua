-- Which zones form a region, for a platform with more zones than controllers: docs/regions.md.
-- A template: put in the platform's own zones, and add "--policy deploy/regions.lua" before "--config" in the run
-- command. A zone that isn't named here is a region of its own, as without this file.
return {
    regions = {
        north = { "a", "b" },
        south = { "c", "d" },
    },
}
