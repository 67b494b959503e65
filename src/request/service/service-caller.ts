/**
 * Calls plain services. Calls of idempotent methods are retried within the service's budget; every other call is
 * written to a VM at most once, and its outcome says whether that happened.
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
import { InstanceChoice } from "./instance-choice.js";
import { ServiceDispatcher } from "./service-dispatch.js";
import {
    DispatchKind,
    type DispatchResult,
    type ServiceCall,
    type ServiceInstance,
    type ServiceInstances,
    type ServiceResponse,
} from "./types.js";

const maximumTries = 4;
/** One try may take this share of the remaining time while another VM could still be tried. */
const triedTimeShare = 0.5;
const retryableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

export interface ServiceCallerDependencies {
    readonly instances: ServiceInstances;
    readonly own: Location;
    /** The topology of the configuration in force. */
    readonly topology: () => Topology;
    readonly health: BackendServerHealth;
    readonly retryBudgets: RetryBudgets;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class ServiceCaller {
    private readonly choice: InstanceChoice;
    private readonly dispatcher = new ServiceDispatcher();

    constructor(private readonly dependencies: ServiceCallerDependencies) {
        this.choice = new InstanceChoice(dependencies.own, dependencies.random);
    }

    /** The service's response. Rejects with a PomelostallError whose outcome is true. */
    async call(call: ServiceCall): Promise<ServiceResponse> {
        if (call.service.idempotentMethods.includes(call.method)) {
            return this.callRepeatedly(call);
        }
        const result = await this.dispatchOnce(call);
        if (result.kind === DispatchKind.responded) {
            return result.response;
        }
        throw this.failure(call, result);
    }

    /**
     * Writes the call to at most one VM, over a new connection. VMs that refuse the connection are passed over, since no
     * byte was written to them.
     */
    async dispatchOnce(call: ServiceCall): Promise<DispatchResult> {
        const tried = new Set<string>();
        let result: DispatchResult = {
            kind: DispatchKind.notRun,
            error: new ServiceUnreachableError(call.service.name),
        };
        while (tried.size < maximumTries && result.kind === DispatchKind.notRun && !this.isOver(call)) {
            const instance = this.choose(call, tried);
            if (instance === undefined) {
                break;
            }
            tried.add(instance.id);
            result = await this.track(instance, () => this.dispatcher.callFresh(call, instance));
        }
        return result;
    }

    close(): Promise<void> {
        return this.dispatcher.close();
    }

    private async callRepeatedly(call: ServiceCall): Promise<ServiceResponse> {
        const budget = this.dependencies.retryBudgets.forRoute(`service ${call.service.name}`, call.service.retryShare);
        budget.recordFirstAttempt();
        const tried = new Set<string>();
        let last: DispatchResult = { kind: DispatchKind.notRun, error: new ServiceUnreachableError(call.service.name) };
        for (let retry = 0; retry < maximumTries && !this.isOver(call); retry++) {
            if (retry > 0 && !(await this.mayRetry(call, retry, budget.tryTake()))) {
                break;
            }
            const instance = this.choose(call, tried) ?? this.choose(call, new Set());
            if (instance === undefined) {
                break;
            }
            tried.add(instance.id);
            discard(last);
            const result = await this.track(instance, () => this.dispatcher.call(call, instance, this.tryTime(call)));
            // A try that may have run is not undone by a later one that did not.
            last = result.kind === DispatchKind.notRun && last.kind !== DispatchKind.notRun
                ? { kind: DispatchKind.unknown, error: result.error }
                : result;
            if (last.kind === DispatchKind.responded && !retryableStatuses.has(last.response.status)) {
                return last.response;
            }
        }
        if (last.kind === DispatchKind.responded) {
            return last.response;
        }
        throw this.failure(call, last);
    }

    private async mayRetry(call: ServiceCall, retry: number, inBudget: boolean): Promise<boolean> {
        const wait = backoffMilliseconds(retry - 1, this.dependencies.random);
        if (!inBudget || monotonicNow() + wait >= call.deadline) {
            this.dependencies.metrics.increment("pomelostall.retry.denied");
            return false;
        }
        await delay(wait, call.signal);
        return !call.signal?.aborted;
    }

    private tryTime(call: ServiceCall): number {
        const alternatives = this.dependencies.instances.instancesOf(call.service.name).length > 1;
        return Math.max(1, (call.deadline - monotonicNow()) * (alternatives ? triedTimeShare : 1));
    }

    private isOver(call: ServiceCall): boolean {
        return call.signal?.aborted === true || monotonicNow() >= call.deadline;
    }

    private choose(call: ServiceCall, tried: ReadonlySet<string>): ServiceInstance | undefined {
        const { instances, topology, health, logger } = this.dependencies;
        const all = instances.instancesOf(call.service.name);
        const ejected = health.ejected();
        const chosen = this.choice.choose(all, topology(), new Set([...tried, ...ejected]))
            ?? this.choice.choose(all, topology(), tried);
        logger.decision({
            kind: "service",
            chosen: chosen?.id ?? "none",
            over: all.map(instance => instance.id),
            reason: "least link time and requests in flight",
            configurationVersion: call.configurationVersion,
            requestId: call.requestId,
            fields: { service: call.service.name, tried: tried.size },
        });
        return chosen;
    }

    /** Counts the request until its response was read, and reports the VM's health. */
    private async track(instance: ServiceInstance, dispatch: () => Promise<DispatchResult>): Promise<DispatchResult> {
        const end = this.choice.begin(instance);
        const result = await dispatch();
        if (result.kind === DispatchKind.responded) {
            result.response.body.once("close", end);
            this.dependencies.health.succeeded(instance.id);
            return result;
        }
        end();
        this.dependencies.health.failed(instance.id, result.kind);
        return result;
    }

    /** What a call that got no response means for the caller. */
    failure(call: ServiceCall, result: Exclude<DispatchResult, { kind: "responded"; }>): PomelostallError {
        const { name, idempotentMethods } = call.service;
        if (result.kind === DispatchKind.notRun) {
            return new ServiceUnreachableError(name, result.error);
        }
        // Repeating idempotent work has no further effect, so nothing about it is unknown.
        const outcome = idempotentMethods.includes(call.method) ? Outcome.failed : Outcome.unknown;
        return monotonicNow() >= call.deadline
            ? new DeadlineExceededError(outcome)
            : new ServiceCallFailedError(name, outcome, result.error);
    }
}

function discard(result: DispatchResult): void {
    if (result.kind === DispatchKind.responded) {
        result.response.body.on("error", () => undefined).destroy();
    }
}
