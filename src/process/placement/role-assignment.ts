/**
 * Splits a model's pipelines in one place into those that run prompts and those that generate, where the operators
 * ask for it and there are pipelines enough. Pipelines that have a role already keep it first.
 */
import { ServingRole } from "../../domain/backend-server.js";
import { minimumPipelinesForRoles } from "./constants.js";
import { compareNames } from "./ordering.js";
import type { PlacedBucket } from "./placement-draft.js";

/** The role of each pipeline, by its name. */
export function assignRoles(bucket: PlacedBucket, prefillShare: number | undefined): ReadonlyMap<string, ServingRole> {
    const prefilling = new Map<string, number>();
    for (const range of bucket.ranges) {
        const already = range.member.server.role === ServingRole.prefill ? 1 : 0;
        prefilling.set(range.pipeline, (prefilling.get(range.pipeline) ?? 0) + already);
    }
    const names = [...prefilling.keys()].filter(name => !name.endsWith("/rest"));
    if (prefillShare === undefined || names.length < minimumPipelinesForRoles) {
        return new Map([...prefilling.keys()].map(name => [name, ServingRole.mixed]));
    }
    const prefillTotal = Math.min(names.length - 1, Math.max(1, Math.round(names.length * prefillShare)));
    const ordered = names.sort((left, right) =>
        prefilling.get(right)! - prefilling.get(left)! || compareNames(left, right)
    );
    const roles = new Map<string, ServingRole>(ordered.map((name, index) => [
        name,
        index < prefillTotal ? ServingRole.prefill : ServingRole.decode,
    ]));
    for (const name of prefilling.keys()) {
        if (!roles.has(name)) {
            roles.set(name, ServingRole.mixed);
        }
    }
    return roles;
}
