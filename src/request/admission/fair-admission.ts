/**
 * Admission control measured in tokens of work: a rate limit for each customer, weighted fair queueing among customers
 * below an adaptive limit on the work in flight, and early rejection of requests that would miss their deadline.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { CallerGoneError, DeadlineUnreachableError, LimitExceededError, Outcome } from "../../errors/index.js";
import type { CustomerLimits } from "../../process/customer-limits/customer-limits.js";
import { RateMeter } from "../../process/customer-limits/rate-meter.js";
import { catchUpMilliseconds } from "../../process/customer-shares/constants.js";
import { FairQueue, type QueueEntry } from "../../process/customer-shares/fair-queue.js";
import type { AdaptiveTokenLimit } from "./adaptive-token-limit.js";
import { maximumQueuedRequests, maximumQueueMilliseconds } from "./constants.js";
import type { Admission, AdmissionRequest, AdmissionTicket } from "./types.js";
import { WorkEstimates } from "./work-estimates.js";

/** Time constant of the service rate, and the time for which it must have been measured before it is used. */
const serviceRateWindowMilliseconds = 3_000;
const millisecondsPerSecond = 1000;
const maximumRetryAfterSeconds = 60;

export interface FairAdmissionDependencies {
    readonly limits: Pick<CustomerLimits, "tryTake" | "correct">;
    readonly tokenLimit: AdaptiveTokenLimit;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

interface QueuedRequest extends QueueEntry {
    readonly request: AdmissionRequest;
    readonly queuedAt: number;
    readonly admitRequest: (ticket: AdmissionTicket) => void;
    readonly rejectRequest: (error: Error) => void;
}

export class FairAdmission implements Admission {
    private readonly queue = new FairQueue<QueuedRequest>();
    private readonly estimates = new WorkEstimates();
    private readonly serviceRate = new RateMeter(serviceRateWindowMilliseconds);
    private tokensInFlight = 0;

    constructor(private readonly dependencies: FairAdmissionDependencies) {}

    /** Number of requests in the queue. */
    get queuedRequests(): number {
        return this.queue.size;
    }

    async admit(request: AdmissionRequest): Promise<AdmissionTicket> {
        if (request.signal?.aborted) {
            throw new CallerGoneError(Outcome.notRun);
        }
        const tokens = this.estimates.estimateTokens(request.route.name, request.tokens);
        this.rejectUnservable(request, tokens);
        this.chargeCustomerLimit(request, tokens);
        return this.enqueue(request, tokens);
    }

    private rejectUnservable(request: AdmissionRequest, tokens: number): void {
        const { name, weight } = request.customer;
        if (this.queue.lengthOf(name) >= maximumQueuedRequests) {
            this.recordRefusal(request, "queue-full");
            throw new LimitExceededError(name, retryAfterSeconds(this.expectedWaitMilliseconds(name, weight, tokens)));
        }
        const waitMilliseconds = this.expectedWaitMilliseconds(name, weight, tokens);
        const remainingMilliseconds = request.deadline - monotonicNow();
        const run = this.estimates.estimateRunMilliseconds(request.route.name, tokens);
        if (
            remainingMilliseconds <= 0 || waitMilliseconds > maximumQueueMilliseconds
            || (waitMilliseconds > 0 && waitMilliseconds + run > remainingMilliseconds)
        ) {
            this.recordRefusal(request, "too-late");
            throw new DeadlineUnreachableError(retryAfterSeconds(waitMilliseconds - maximumQueueMilliseconds));
        }
    }

    private chargeCustomerLimit(request: AdmissionRequest, tokens: number): void {
        const decision = this.dependencies.limits.tryTake(request.customer, tokens);
        if (!decision.allowed) {
            this.recordRefusal(request, "customer-limit");
            throw new LimitExceededError(
                request.customer.name,
                Math.min(maximumRetryAfterSeconds, decision.retryAfterSeconds),
            );
        }
    }

    /** Expected time in the queue at the present service rate; 0 if the request fits at once or the rate is unknown. */
    private expectedWaitMilliseconds(customer: string, weight: number, tokens: number): number {
        if (this.queue.size === 0 && this.fits(tokens)) {
            return 0;
        }
        const rate = this.serviceRate.perSecond;
        if (rate <= 0 || this.serviceRate.ageMilliseconds < serviceRateWindowMilliseconds) {
            return 0;
        }
        const workAhead = this.queue.workAhead(customer, weight, this.catchUpCredit(customer, weight));
        return (workAhead * this.queue.activeWeight(customer, weight) * millisecondsPerSecond) / rate;
    }

    private enqueue(request: AdmissionRequest, tokens: number): Promise<AdmissionTicket> {
        return new Promise<AdmissionTicket>((resolve, reject) => {
            const abandon = (error: Error) => {
                this.queue.remove(entry);
                this.dependencies.limits.correct(request.customer, -tokens);
                entry.rejectRequest(error);
                this.admitQueued();
            };
            const callerGone = () => abandon(new CallerGoneError(Outcome.notRun));
            const onTimeout = () => {
                this.recordRefusal(request, "waited-too-long");
                abandon(new DeadlineUnreachableError(1));
            };
            const timeoutMilliseconds = Math.min(request.deadline - monotonicNow(), maximumQueueMilliseconds);
            const timer = setTimeout(onTimeout, timeoutMilliseconds);
            const cleanUp = () => {
                clearTimeout(timer);
                request.signal?.removeEventListener("abort", callerGone);
            };
            const entry: QueuedRequest = {
                customer: request.customer.name,
                weight: request.customer.weight,
                priority: request.route.priority,
                tokens,
                request,
                queuedAt: monotonicNow(),
                admitRequest: ticket => {
                    cleanUp();
                    resolve(ticket);
                },
                rejectRequest: error => {
                    cleanUp();
                    reject(error);
                },
            };
            request.signal?.addEventListener("abort", callerGone);
            this.queue.push(entry, this.catchUpCredit(entry.customer, entry.weight));
            this.admitQueued();
        });
    }

    /** Work that a customer may catch up on, in tokens per unit of weight, at the throughput of `catchUpMilliseconds`. */
    private catchUpCredit(customer: string, weight: number): number {
        const tokens = this.serviceRate.perSecond * catchUpMilliseconds / millisecondsPerSecond;
        return tokens / this.queue.activeWeight(customer, weight);
    }

    /** Admits queued requests in fair order while the token limit allows. */
    private admitQueued(): void {
        for (let entry = this.queue.peek(); entry !== undefined && this.fits(entry.tokens); entry = this.queue.peek()) {
            this.queue.shift();
            this.tokensInFlight += entry.tokens;
            this.dependencies.tokenLimit.recordUse(this.tokensInFlight);
            entry.admitRequest(this.createTicket(entry));
        }
        // While requests are queued, the limit counts as fully used.
        if (this.queue.size > 0) {
            this.dependencies.tokenLimit.recordUse(this.dependencies.tokenLimit.tokens);
        }
    }

    /** Whether the limit has room for the tokens. A request larger than the whole limit runs alone. */
    private fits(tokens: number): boolean {
        return this.tokensInFlight === 0 || this.tokensInFlight + tokens <= this.dependencies.tokenLimit.tokens;
    }

    private createTicket(entry: QueuedRequest): AdmissionTicket {
        const admittedAt = monotonicNow();
        const queuedMilliseconds = admittedAt - entry.queuedAt;
        const { request, tokens } = entry;
        let released = false;
        this.dependencies.metrics.timing("pomelostall.admission.queued", queuedMilliseconds);
        return {
            queuedMilliseconds,
            release: usedTokens => {
                if (released) {
                    return;
                }
                released = true;
                this.tokensInFlight -= tokens;
                this.serviceRate.add(usedTokens);
                this.queue.charge(request.customer.name, request.customer.weight, usedTokens - tokens);
                this.dependencies.limits.correct(request.customer, usedTokens - tokens);
                this.estimates.record(request.route.name, request.tokens, usedTokens, monotonicNow() - admittedAt);
                this.admitQueued();
            },
        };
    }

    private recordRefusal(request: AdmissionRequest, reason: string): void {
        this.dependencies.metrics.increment("pomelostall.admission.refused", 1, { reason });
        this.dependencies.logger.decision({
            kind: "admission",
            chosen: "refused",
            over: [],
            reason,
            configurationVersion: 0,
            requestId: request.requestId,
            fields: { customer: request.customer.name, route: request.route.name },
        });
    }
}

function retryAfterSeconds(milliseconds: number): number {
    return Math.min(maximumRetryAfterSeconds, Math.max(1, Math.ceil(milliseconds / millisecondsPerSecond)));
}
