/** Formats the placement as tables and text for a terminal. */
import Table from "cli-table3";
import type { OrderAction } from "../domain/engine-protocol.js";
import { formatLayerRange } from "../domain/layers.js";
import { UnknownPlacementSubjectError } from "../errors/index.js";
import type {
    PlacementPlanStatus,
    PlacementStatus,
    RangeStatus,
    ServerPlacementStatus,
} from "../process/placement/placement-status.js";

const bytesPerGigabyte = 1e9;

/** Formats the layers that each backend server holds now. */
export function formatHoldings(plan: PlacementPlanStatus, color: boolean): string {
    const rows = [...plan.servers]
        .sort((left, right) => zoneOf(left).localeCompare(zoneOf(right)) || left.id.localeCompare(right.id))
        .map(server => [
            zoneOf(server),
            server.id,
            server.className,
            server.draining ? "draining" : server.role,
            server.holds.map(formatRange).join("\n") || "nothing",
        ]);
    return `${renderTable(["zone", "backend server", "class", "role", "holds"], rows, color)}\n`;
}

/** Formats the plan's capacity and the orders that carry it out. */
export function formatPlan(plan: PlacementPlanStatus, color: boolean): string {
    const capacities = plan.capacities.map(capacity => [
        capacity.model,
        capacity.tokensPerSecond.toFixed(0),
        capacity.demandTokensPerSecond.toFixed(0),
        capacity.worstZoneLossTokensPerSecond.toFixed(0),
    ]);
    const steps = plan.steps.map((step, index) => [
        String(index + 1),
        step.backendServer,
        formatAction(step.action),
        step.bytes === 0 ? "" : (step.bytes / bytesPerGigabyte).toFixed(1),
    ]);
    return [
        `configuration version ${plan.configurationVersion}: ${plan.reason}`,
        `capacity is ${plan.demandMultiple.toFixed(2)} times the demand; the upper bound from compute alone is `
        + plan.boundDemandMultiple.toFixed(2),
        renderTable(["model", "tokens/s", "demand", "after zone loss"], capacities, color),
        steps.length === 0 ? "No changes planned." : renderTable(["", "backend server", "order", "GB"], steps, color),
        ...plan.blocked.length === 0 ? [] : [`postponed, not safe to change now: ${plan.blocked.join(", ")}`],
        ...plan.unplaced.length === 0 ? [] : [`no complete pipeline fits: ${plan.unplaced.join(", ")}`],
        "",
    ].join("\n");
}

/**
 * Explains the placement of one backend server or model. Throws an UnknownPlacementSubjectError if the placement has
 * neither under this name.
 */
export function formatExplanation(
    status: PlacementStatus & { readonly plan: PlacementPlanStatus; },
    name: string,
): string {
    const { plan } = status;
    const server = plan.servers.find(each => each.id === name);
    const capacity = plan.capacities.find(each => each.model === name);
    if (server === undefined && capacity === undefined) {
        throw new UnknownPlacementSubjectError(name);
    }
    const lines = server === undefined ? explainModel(plan, name) : explainServer(plan, server);
    const settleNotice = status.settleMilliseconds > 0
        ? [`orders to backend servers that ignore fencing numbers start in ${
            (status.settleMilliseconds / 1000).toFixed(0)
        } s`]
        : [];
    return [
        ...lines,
        ...settleNotice,
        `why: ${plan.reason}`,
        `placement holder: ${status.holder?.router ?? "unknown"}, fencing number ${
            status.holder?.fencingNumber ?? "unknown"
        }`,
        "",
    ].join("\n");
}

function explainServer(plan: PlacementPlanStatus, server: ServerPlacementStatus): string[] {
    const steps = plan.steps.filter(step => step.backendServer === server.id);
    return [
        `${server.id} in ${zoneOf(server)}, class ${server.className}`,
        `holds: ${server.holds.map(formatRange).join(", ") || "nothing"}; role ${server.role}`,
        server.wanted === undefined
            ? "is to hold nothing: the server is draining, or no model needs it"
            : `is to hold: ${
                formatRange(server.wanted)
            } in pipeline ${server.wanted.pipeline}; role ${server.wanted.role}`,
        steps.length === 0 ? "no orders" : `orders: ${steps.map(step => formatAction(step.action)).join(", then ")}`,
        ...plan.blocked.includes(server.id)
            ? ["change postponed: it would leave a model without a complete pipeline"]
            : [],
    ];
}

function explainModel(plan: PlacementPlanStatus, model: string): string[] {
    const capacity = plan.capacities.find(each => each.model === model)!;
    const wanted = plan.servers.filter(server => server.wanted?.model === model);
    const zones = [...new Set(wanted.map(zoneOf))].sort();
    return [
        `${model}: ${wanted.length} backend servers in ${
            zones.map(zone => `${zone} (${wanted.filter(server => zoneOf(server) === zone).length})`).join(", ")
            || "no zone"
        }`,
        `capacity ${capacity.tokensPerSecond.toFixed(0)} tokens/s for a demand of `
        + `${capacity.demandTokensPerSecond.toFixed(0)}; ${capacity.worstZoneLossTokensPerSecond.toFixed(0)} `
        + "after the loss of its largest zone",
    ];
}

function zoneOf(server: ServerPlacementStatus): string {
    return `${server.region}/${server.availabilityZone}`;
}

function formatRange(range: RangeStatus): string {
    const adapters = range.adapters.length === 0 ? "" : ` with ${range.adapters.join(", ")}`;
    return `${range.model} ${range.modelVersion} layers ${range.firstLayer}-${range.lastLayer}${adapters}`;
}

function formatAction(action: OrderAction): string {
    switch (action.kind) {
        case "load":
        case "unload":
            return `${action.kind} ${action.model} ${action.modelVersion} layers ${formatLayerRange(action.layers)}`;
        case "load-adapter":
        case "unload-adapter":
            return `${action.kind} ${action.adapter} of ${action.model} ${action.modelVersion}`;
        case "change-role":
            return `change role to ${action.role}`;
    }
}

function renderTable(head: string[], rows: string[][], color: boolean): string {
    const style = color ? { head: ["cyan"] } : { head: [], border: [] };
    const rendered = new Table({ head, style });
    rendered.push(...rows);
    return rendered.toString();
}
