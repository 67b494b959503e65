/**
 * Divides the pipelines of one model layout into prefill and decode pipelines, if the input gives the model a prefill
 * share and there are enough pipelines. Pipelines with the most prefill servers stay prefill pipelines.
 */
import { ServingRole } from "../../domain/backend-server.js";
import { compareNames } from "./compare-names.js";
import { minimumPipelinesForRoles } from "./constants.js";
import type { ModelLayout } from "./placement-draft.js";

/** The role of each pipeline, by pipeline name. Ranges outside of a complete pipeline are mixed. */
export function assignRoles(layout: ModelLayout, prefillShare: number | undefined): ReadonlyMap<string, ServingRole> {
    const prefillServers = new Map<string, number>();
    for (const range of layout.ranges) {
        const prefillCount = range.member.server.role === ServingRole.prefill ? 1 : 0;
        prefillServers.set(range.pipeline, (prefillServers.get(range.pipeline) ?? 0) + prefillCount);
    }
    const names = [...prefillServers.keys()].filter(name => !name.endsWith("/rest"));
    if (prefillShare === undefined || names.length < minimumPipelinesForRoles) {
        return new Map([...prefillServers.keys()].map(name => [name, ServingRole.mixed]));
    }
    const prefillTotal = Math.min(names.length - 1, Math.max(1, Math.round(names.length * prefillShare)));
    const ordered = names.sort((left, right) =>
        prefillServers.get(right)! - prefillServers.get(left)! || compareNames(left, right)
    );
    const roles = new Map<string, ServingRole>(ordered.map((name, index) => [
        name,
        index < prefillTotal ? ServingRole.prefill : ServingRole.decode,
    ]));
    for (const name of prefillServers.keys()) {
        if (!roles.has(name)) {
            roles.set(name, ServingRole.mixed);
        }
    }
    return roles;
}
