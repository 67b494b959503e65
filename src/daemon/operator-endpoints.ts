/** The calls that operators can make to a router. */
import type { ConfigurationSource } from "../domain/configuration.js";
import type { Fleet } from "../domain/fleet.js";
import { formatLayerRange } from "../domain/layers.js";
import { NotFoundError, OperatorBadRequestError } from "../errors/index.js";
import type { DrainController } from "../process/drain/drain-controller.js";
import type { OperatorEndpoint } from "../process/operator/operator-handler.js";
import type { BackendServerStatus, Explanation, RouterStatus } from "../process/operator/status.js";
import type { PlacementStatus } from "../process/placement/placement-status.js";
import type { PipelineChooser } from "../request/pipeline-choice/types.js";

export interface OperatorEndpointParts {
    readonly configurations: ConfigurationSource;
    readonly fleet: Fleet;
    readonly drain: DrainController;
    readonly chooser: PipelineChooser;
    readonly callersAddress: () => string;
    readonly platformReachable: () => Promise<boolean>;
    readonly backendServers: () => readonly BackendServerStatus[];
    readonly placement: () => Promise<PlacementStatus>;
    /** Called once the drain was asked for; the process ends after it. */
    readonly requestStop: () => void;
}

const explainRequestId = "explain";
const maximumPromptTokens = 1_000_000;
const expectedAnswerTokens = 200;

export function createOperatorEndpoints(parts: OperatorEndpointParts): OperatorEndpoint[] {
    return [
        { method: "GET", path: "/operator/status", handle: () => readStatus(parts) },
        { method: "POST", path: "/operator/drain", handle: async () => startDrain(parts) },
        { method: "GET", path: "/operator/explain", handle: async call => explain(parts, call.query) },
        { method: "GET", path: "/operator/placement", handle: () => parts.placement() },
    ];
}

async function readStatus(parts: OperatorEndpointParts): Promise<RouterStatus> {
    const { self } = parts.fleet;
    return {
        router: {
            id: self.id,
            region: self.location.region,
            availabilityZone: self.location.availabilityZone,
            state: parts.drain.state,
            configurationVersion: parts.configurations.current.version,
            requestsInFlight: parts.drain.requestsInFlight,
            callersAddress: parts.callersAddress(),
        },
        platformReachable: await parts.platformReachable(),
        routers: parts.fleet.members().map(member => ({
            id: member.id,
            availabilityZone: member.location.availabilityZone,
            state: member.state,
            configurationVersion: member.id === self.id
                ? parts.configurations.current.version
                : member.configurationVersion,
        })),
        backendServers: parts.backendServers(),
    };
}

function startDrain(parts: OperatorEndpointParts): unknown {
    parts.requestStop();
    return { state: parts.drain.state, requestsInFlight: parts.drain.requestsInFlight };
}

function explain(parts: OperatorEndpointParts, query: URLSearchParams): Explanation {
    const configuration = parts.configurations.current;
    const route = configuration.routes.get(query.get("route") ?? "");
    const model = route === undefined ? undefined : configuration.models.get(route.model);
    if (route === undefined || model === undefined) {
        throw new NotFoundError(`There is no route '${query.get("route") ?? ""}'.`);
    }
    const promptTokens = Number(query.get("promptTokens") ?? 0);
    if (!Number.isInteger(promptTokens) || promptTokens < 0 || promptTokens > maximumPromptTokens) {
        throw new OperatorBadRequestError(`promptTokens must be a whole number up to ${maximumPromptTokens}.`);
    }
    const choice = parts.chooser.choose({
        requestId: explainRequestId,
        model,
        adapter: route.adapter,
        promptTokens,
        expectedTokens: expectedAnswerTokens,
        generatedTokens: 0,
        prefixBlocks: [],
        excluded: new Set(),
        survivingStages: [],
    });
    return {
        route: route.name,
        model: model.name,
        configurationVersion: configuration.version,
        stages: choice.plan.stages.map(stage => ({
            backendServer: stage.backendServer,
            layers: formatLayerRange(stage.layers),
        })),
        expectedFirstTokenMilliseconds: choice.expectedFirstTokenMilliseconds,
        expectedTokenMilliseconds: choice.expectedTokenMilliseconds,
        considered: choice.considered,
        reason: choice.reason,
    };
}
