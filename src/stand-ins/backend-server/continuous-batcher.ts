/** Continuous batching: each step computes one chunk of every job it has room for, the most urgent first. */
import { layerCount, type LayerRange } from "../../domain/layers.js";
import { fixedStepShare, fullBatchTokens, maximumStepTokens } from "./constants.js";

/** Tokens to compute through a layer range. */
export interface BatchJob {
    readonly attemptId: string;
    readonly priority: number;
    readonly layers: LayerRange;
    tokens: number;
    /** Called once when all tokens are computed. */
    readonly done: () => void;
}

interface StepShare {
    readonly job: BatchJob;
    readonly tokens: number;
}

export class ContinuousBatcher {
    private jobs: BatchJob[] = [];
    private timer: ReturnType<typeof setTimeout> | undefined;
    private stalled = false;
    /** Time of the last step, in milliseconds. */
    lastStepMilliseconds = 0;
    /** Jobs that the last step had no room for. */
    lastQueued = 0;

    constructor(private readonly layerTokensPerSecond: number) {}

    submit(job: BatchJob): void {
        let index = this.jobs.length;
        while (index > 0 && this.jobs[index - 1]!.priority > job.priority) {
            index--;
        }
        this.jobs.splice(index, 0, job);
        this.schedule();
    }

    /** Drops an attempt's jobs. */
    remove(attemptId: string): void {
        this.jobs = this.jobs.filter(job => job.attemptId !== attemptId);
    }

    clear(): void {
        this.jobs = [];
        clearTimeout(this.timer);
        this.timer = undefined;
    }

    /** Stops computing until called with false. */
    setStalled(stalled: boolean): void {
        this.stalled = stalled;
        if (!stalled) {
            this.schedule();
        }
    }

    get pendingTokens(): number {
        return this.jobs.reduce((total, job) => total + job.tokens, 0);
    }

    private schedule(): void {
        if (this.timer !== undefined || this.stalled || this.jobs.length === 0) {
            return;
        }
        const shares = this.chooseShares();
        this.lastQueued = this.jobs.length - shares.length;
        this.lastStepMilliseconds = stepMilliseconds(shares, this.layerTokensPerSecond);
        this.timer = setTimeout(() => this.finish(shares), this.lastStepMilliseconds);
    }

    private chooseShares(): StepShare[] {
        const shares: StepShare[] = [];
        let room = maximumStepTokens;
        for (const job of this.jobs) {
            if (room === 0) {
                break;
            }
            const tokens = Math.min(job.tokens, room);
            room -= tokens;
            shares.push({ job, tokens });
        }
        return shares;
    }

    private finish(shares: readonly StepShare[]): void {
        this.timer = undefined;
        if (this.stalled) {
            return;
        }
        const present = new Set(this.jobs);
        const finished = shares.filter(share => present.has(share.job) && (share.job.tokens -= share.tokens) <= 0);
        const done = new Set(finished.map(share => share.job));
        this.jobs = this.jobs.filter(job => !done.has(job));
        for (const job of done) {
            job.done();
        }
        this.schedule();
    }
}

function stepMilliseconds(shares: readonly StepShare[], layerTokensPerSecond: number): number {
    const tokens = shares.reduce((total, share) => total + share.tokens, 0);
    const layerTokens = shares.reduce((total, share) => total + share.tokens * layerCount(share.job.layers), 0);
    const fixed = Math.max(0, 1 - tokens / fullBatchTokens) * fixedStepShare * fullBatchTokens;
    return (layerTokens * (1 + fixed / tokens) * 1000) / layerTokensPerSecond;
}
