/** HTTP endpoints of the operator interface: status, drain, explain and placement. */
import type { ConfigurationSource } from "../domain/configuration.js";
import type { Fleet } from "../domain/fleet.js";
import { formatLayerRange } from "../domain/layers.js";
import { NotFoundError, OperatorBadRequestError } from "../errors/index.js";
import type { DrainController } from "../process/drain/drain-controller.js";
import type { OperatorEndpoint } from "../process/operator/operator-handler.js";
import type { BackendServerStatus, Explanation, RouterStatus } from "../process/operator/status.js";
import type { PlacementStatus } from "../process/placement/placement-status.js";
import type { PipelineChooser } from "../request/pipeline-choice/types.js";

export interface OperatorEndpointDependencies {
    readonly configurations: ConfigurationSource;
    readonly fleet: Fleet;
    readonly drain: DrainController;
    readonly chooser: PipelineChooser;
    readonly callersAddress: () => string;
    readonly platformReachable: () => Promise<boolean>;
    readonly backendServers: () => readonly BackendServerStatus[];
    readonly placement: () => Promise<PlacementStatus>;
    /** Called when an operator requests a drain; the process exits after draining. */
    readonly requestStop: () => void;
}

const explainRequestId = "explain";
const maximumPromptTokens = 1_000_000;
/** Output tokens that `explain` assumes for the request. */
const assumedOutputTokens = 200;

export function createOperatorEndpoints(dependencies: OperatorEndpointDependencies): OperatorEndpoint[] {
    return [
        { method: "GET", path: "/operator/status", handle: () => readStatus(dependencies) },
        { method: "POST", path: "/operator/drain", handle: async () => startDrain(dependencies) },
        { method: "GET", path: "/operator/explain", handle: async call => explain(dependencies, call.query) },
        { method: "GET", path: "/operator/placement", handle: () => dependencies.placement() },
    ];
}

async function readStatus(dependencies: OperatorEndpointDependencies): Promise<RouterStatus> {
    const { self } = dependencies.fleet;
    return {
        router: {
            id: self.id,
            region: self.location.region,
            availabilityZone: self.location.availabilityZone,
            state: dependencies.drain.state,
            configurationVersion: dependencies.configurations.current.version,
            requestsInFlight: dependencies.drain.requestsInFlight,
            callersAddress: dependencies.callersAddress(),
        },
        platformReachable: await dependencies.platformReachable(),
        routers: dependencies.fleet.members().map(member => ({
            id: member.id,
            availabilityZone: member.location.availabilityZone,
            state: member.state,
            configurationVersion: member.id === self.id
                ? dependencies.configurations.current.version
                : member.configurationVersion,
        })),
        backendServers: dependencies.backendServers(),
    };
}

function startDrain(dependencies: OperatorEndpointDependencies): unknown {
    dependencies.requestStop();
    return { state: dependencies.drain.state, requestsInFlight: dependencies.drain.requestsInFlight };
}

function explain(dependencies: OperatorEndpointDependencies, query: URLSearchParams): Explanation {
    const configuration = dependencies.configurations.current;
    const route = configuration.routes.get(query.get("route") ?? "");
    const model = route === undefined ? undefined : configuration.models.get(route.model);
    if (route === undefined || model === undefined) {
        throw new NotFoundError(`There is no route '${query.get("route") ?? ""}'.`);
    }
    const promptTokens = Number(query.get("promptTokens") ?? 0);
    if (!Number.isInteger(promptTokens) || promptTokens < 0 || promptTokens > maximumPromptTokens) {
        throw new OperatorBadRequestError(`promptTokens must be a whole number from 0 to ${maximumPromptTokens}.`);
    }
    const choice = dependencies.chooser.choose({
        requestId: explainRequestId,
        model,
        adapter: route.adapter,
        promptTokens,
        expectedTokens: assumedOutputTokens,
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
