/**
 * Calls plain services. Calls with idempotent methods are retried within the service's retry budget. Every other call
 * is written to a VM at most once, and its outcome states whether it may have been written.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import type { Location, Topology } from "../../domain/topology.js";
import type { PomelostallError } from "../../errors/index.js";
import { DeadlineExceededError, Outcome, ServiceCallFailedError, ServiceUnreachableError } from "../../errors/index.js";
import type { BackendServerHealth } from "../../process/outlier-ejection/types.js";
import type { RetryBudgets } from "../../process/retry-budgets/types.js";
import { backoffMilliseconds } from "../retry/backoff.js";
import { InstanceSelector } from "./instance-selector.js";
import { ServiceDispatcher } from "./service-dispatcher.js";
import {
    DispatchKind,
    type DispatchResult,
    type ServiceCall,
    type ServiceInstance,
    type ServiceInstanceSource,
    type ServiceResponse,
} from "./types.js";

const maximumAttempts = 4;
/** Share of the remaining time that one attempt may take if the service has more than one VM. */
const attemptTimeShare = 0.5;
const retryableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

export interface ServiceCallerDependencies {
    readonly instances: ServiceInstanceSource;
    /** Location of this router. */
    readonly ownLocation: Location;
    /** Returns the topology of the active configuration. */
    readonly topology: () => Topology;
    readonly health: BackendServerHealth;
    readonly retryBudgets: RetryBudgets;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class ServiceCaller {
    private readonly instanceSelector: InstanceSelector;
    private readonly dispatcher = new ServiceDispatcher();

    constructor(private readonly dependencies: ServiceCallerDependencies) {
        this.instanceSelector = new InstanceSelector(dependencies.ownLocation, dependencies.random);
    }

    /** Returns the service's response. Rejects with a PomelostallError whose outcome states whether the call ran. */
    async call(call: ServiceCall): Promise<ServiceResponse> {
        if (call.service.idempotentMethods.includes(call.method)) {
            return this.callWithRetries(call);
        }
        const result = await this.dispatchOnce(call);
        if (result.kind === DispatchKind.responded) {
            return result.response;
        }
        throw this.toCallError(call, result);
    }

    /**
     * Writes the call to at most one VM, over a new connection. If a VM refuses the connection, the next one is tried,
     * since no byte was written.
     */
    async dispatchOnce(call: ServiceCall): Promise<DispatchResult> {
        const tried = new Set<string>();
        let result: DispatchResult = {
            kind: DispatchKind.notRun,
            error: new ServiceUnreachableError(call.service.name),
        };
        while (tried.size < maximumAttempts && result.kind === DispatchKind.notRun && !this.isAbortedOrExpired(call)) {
            const instance = this.chooseInstance(call, tried);
            if (instance === undefined) {
                break;
            }
            tried.add(instance.id);
            result = await this.dispatchTracked(instance, () => this.dispatcher.callOnNewConnection(call, instance));
        }
        return result;
    }

    close(): Promise<void> {
        return this.dispatcher.close();
    }

    private async callWithRetries(call: ServiceCall): Promise<ServiceResponse> {
        const budget = this.dependencies.retryBudgets.forRoute(`service ${call.service.name}`, call.service.retryShare);
        budget.recordFirstAttempt();
        const tried = new Set<string>();
        let lastResult: DispatchResult = {
            kind: DispatchKind.notRun,
            error: new ServiceUnreachableError(call.service.name),
        };
        for (let attempt = 0; attempt < maximumAttempts && !this.isAbortedOrExpired(call); attempt++) {
            if (attempt > 0 && !(await this.waitBeforeRetry(call, attempt, budget.tryTake()))) {
                break;
            }
            const instance = this.chooseInstance(call, tried) ?? this.chooseInstance(call, new Set());
            if (instance === undefined) {
                break;
            }
            tried.add(instance.id);
            discardResponse(lastResult);
            const result = await this.dispatchTracked(
                instance,
                () => this.dispatcher.callPooled(call, instance, this.attemptTimeoutMilliseconds(call)),
            );
            // If an earlier attempt may have run, the outcome stays unknown even if a later attempt did not run.
            lastResult = result.kind === DispatchKind.notRun && lastResult.kind !== DispatchKind.notRun
                ? { kind: DispatchKind.unknown, error: result.error }
                : result;
            if (lastResult.kind === DispatchKind.responded && !retryableStatuses.has(lastResult.response.status)) {
                return lastResult.response;
            }
        }
        if (lastResult.kind === DispatchKind.responded) {
            return lastResult.response;
        }
        throw this.toCallError(call, lastResult);
    }

    private async waitBeforeRetry(call: ServiceCall, retry: number, isWithinBudget: boolean): Promise<boolean> {
        const backoff = backoffMilliseconds(retry - 1, this.dependencies.random);
        if (!isWithinBudget || monotonicNow() + backoff >= call.deadline) {
            this.dependencies.metrics.increment("pomelostall.retry.denied");
            return false;
        }
        await delay(backoff, call.signal);
        return !call.signal?.aborted;
    }

    private attemptTimeoutMilliseconds(call: ServiceCall): number {
        const hasAlternatives = this.dependencies.instances.instancesOf(call.service.name).length > 1;
        return Math.max(1, (call.deadline - monotonicNow()) * (hasAlternatives ? attemptTimeShare : 1));
    }

    private isAbortedOrExpired(call: ServiceCall): boolean {
        return call.signal?.aborted === true || monotonicNow() >= call.deadline;
    }

    private chooseInstance(call: ServiceCall, tried: ReadonlySet<string>): ServiceInstance | undefined {
        const { instances, topology, health, logger } = this.dependencies;
        const all = instances.instancesOf(call.service.name);
        const ejected = health.ejected();
        const chosen = this.instanceSelector.choose(all, topology(), new Set([...tried, ...ejected]))
            ?? this.instanceSelector.choose(all, topology(), tried);
        logger.decision({
            kind: "service",
            chosen: chosen?.id ?? "none",
            over: all.map(instance => instance.id),
            reason: "lowest cost of link round trip and requests in flight",
            configurationVersion: call.configurationVersion,
            requestId: call.requestId,
            fields: { service: call.service.name, tried: tried.size },
        });
        return chosen;
    }

    /**
     * Counts the request as in flight until the response body is closed, and reports the result to the VM's health
     * record.
     */
    private async dispatchTracked(
        instance: ServiceInstance,
        dispatch: () => Promise<DispatchResult>,
    ): Promise<DispatchResult> {
        const endRequest = this.instanceSelector.beginRequest(instance);
        const result = await dispatch();
        if (result.kind === DispatchKind.responded) {
            result.response.body.once("close", endRequest);
            this.dependencies.health.recordSuccess(instance.id);
            return result;
        }
        endRequest();
        this.dependencies.health.recordFailure(instance.id, result.kind);
        return result;
    }

    /** Converts the result of a call that received no response to the error for the caller. */
    toCallError(call: ServiceCall, result: Exclude<DispatchResult, { kind: "responded"; }>): PomelostallError {
        const { name, idempotentMethods } = call.service;
        if (result.kind === DispatchKind.notRun) {
            return new ServiceUnreachableError(name, result.error);
        }
        // An idempotent call can be repeated safely, so its outcome is reported as failed instead of unknown.
        const outcome = idempotentMethods.includes(call.method) ? Outcome.failed : Outcome.unknown;
        return monotonicNow() >= call.deadline
            ? new DeadlineExceededError(outcome)
            : new ServiceCallFailedError(name, outcome, result.error);
    }
}

function discardResponse(result: DispatchResult): void {
    if (result.kind === DispatchKind.responded) {
        result.response.body.on("error", () => undefined).destroy();
    }
}
