/**
 * One router's view of the fleet: applies deltas and gossip messages, creates replies, and queues deltas for other
 * routers. Uses neither transport nor timers; only the epochs of demand averaging depend on the clock.
 */
import { type BackendServerNotice, type RouterMember, RouterState } from "../../domain/fleet.js";
import type { VersionAnnouncement } from "../../domain/version-exchange.js";
import { DeltaQueue } from "./delta-queue.js";
import { DemandAverager } from "./demand-averager.js";
import { isPresent, MemberTable } from "./member-table.js";
import { NoticeTable } from "./notice-table.js";
import type { MembershipSettings } from "./settings.js";
import type { Delta, DemandSlice, FleetState, GossipMessage } from "./types.js";

/** Receives the changes of a fleet view. */
export interface FleetViewListener {
    onMemberChanged(member: RouterMember, source: string | undefined): void;
    onNoticeReceived(notice: BackendServerNotice): void;
    onVersionAnnounced(announcement: VersionAnnouncement): void;
    /** A delta was queued for forwarding to peers. */
    onDeltaQueued(): void;
}

export class FleetView {
    readonly table = new MemberTable();
    readonly demand: DemandAverager;
    readonly deltaQueue: DeltaQueue;
    private readonly notices = new NoticeTable();
    private announcement: VersionAnnouncement | undefined;
    private selfMember: RouterMember;

    constructor(
        self: Omit<RouterMember, "incarnation" | "state" | "configurationVersion">,
        settings: MembershipSettings,
        private readonly listener: FleetViewListener,
    ) {
        this.selfMember = { ...self, incarnation: 1, state: RouterState.alive, configurationVersion: 0 };
        this.table.apply(this.selfMember);
        this.demand = new DemandAverager(settings);
        this.deltaQueue = new DeltaQueue(settings.piggybackRepeats, settings.maximumPiggybackedDeltas);
    }

    get self(): RouterMember {
        return this.selfMember;
    }

    /** The highest active configuration version of the other present routers; undefined if none has a version. */
    highestAnnounced(): VersionAnnouncement | undefined {
        let highest: VersionAnnouncement | undefined;
        for (const member of this.table.presentMembers()) {
            if (member.id !== this.selfMember.id && member.configurationVersion > (highest?.version ?? 0)) {
                highest = { routerId: member.id, version: member.configurationVersion };
            }
        }
        return highest;
    }

    /** Sets this router's active configuration version and announces it to the fleet. */
    announce(version: number): void {
        this.selfMember = { ...this.selfMember, configurationVersion: version };
        this.table.raiseVersion(this.selfMember.id, version);
        this.apply({ kind: "version", announcement: { routerId: this.selfMember.id, version } }, undefined);
    }

    publishNotice(notice: BackendServerNotice): void {
        this.apply({ kind: "notice", notice }, undefined);
    }

    /** Raises this router's incarnation, which overrides the state that other routers may have recorded for it. */
    raiseIncarnation(above: number = this.selfMember.incarnation): void {
        this.updateSelf({ ...this.selfMember, incarnation: above + 1 });
    }

    /** Announces that this router leaves the fleet. */
    leave(): void {
        this.updateSelf({ ...this.selfMember, state: RouterState.left });
    }

    /** Sets another member's state, unless its incarnation differs from the one for which the state was observed. */
    setState(id: string, incarnation: number, state: RouterState): void {
        const member = this.table.get(id);
        if (member !== undefined && member.incarnation === incarnation) {
            this.apply({ kind: "member", member: { ...member, state } }, undefined);
        }
    }

    /** Applies a delta, and queues it for forwarding if it is new. `source` is the ID of the peer that sent it. */
    apply(delta: Delta, source: string | undefined): void {
        if (this.recordDelta(delta, source)) {
            this.deltaQueue.add(delta, source);
            this.listener.onDeltaQueued();
        }
    }

    createMessage(deltas: readonly Delta[], demand?: DemandSlice): GossipMessage {
        return {
            senderId: this.selfMember.id,
            incarnation: this.selfMember.incarnation,
            configurationVersion: this.selfMember.configurationVersion,
            digest: this.table.digest,
            deltas,
            demand,
            unknownSender: false,
        };
    }

    /** Creates a probe with piggybacked deltas and the next slice of demand. */
    createProbe(): GossipMessage {
        return this.createMessage(this.deltaQueue.takePiggyback(), this.demand.createRequest());
    }

    /** Applies a message and returns the reply. A sender recorded as not alive gets that record, to refute it. */
    handleMessage(message: GossipMessage): GossipMessage {
        this.applyMessage(message);
        const sender = this.table.get(message.senderId);
        const senderStateDeltas: Delta[] = sender !== undefined && sender.state !== RouterState.alive
            ? [{ kind: "member", member: sender }]
            : [];
        const demand = message.demand === undefined ? undefined : this.demand.handleRequest(message.demand);
        const reply = this.createMessage([...senderStateDeltas, ...this.deltaQueue.takePiggyback()], demand);
        return { ...reply, unknownSender: sender === undefined };
    }

    /** Applies the reply to a message that this router sent. */
    handleReply(request: GossipMessage, reply: GossipMessage): void {
        this.applyMessage(reply);
        if (request.demand !== undefined && reply.demand !== undefined) {
            this.demand.handleReply(request.demand, reply.demand);
        }
    }

    fullState(): FleetState {
        return { members: this.table.all(), notices: this.notices.all(), version: this.announcement };
    }

    /**
     * Merges another router's full state. Members that the other router regards as dead but that are present in this
     * view become suspects, so that live members on this side of a healed partition can refute it.
     */
    merge(state: FleetState, source: string | undefined): void {
        const isJoining = this.table.presentMembers().length <= 1;
        for (const member of state.members) {
            if (member.state === RouterState.dead && !this.isPresentLocally(member.id)) {
                continue;
            }
            const downgraded = member.state === RouterState.dead ? { ...member, state: RouterState.suspect } : member;
            this.mergeDelta(
                { kind: "member", member: downgraded },
                source,
                isJoining && member.id !== this.selfMember.id,
            );
        }
        for (const notice of state.notices) {
            this.mergeDelta({ kind: "notice", notice }, source, isJoining);
        }
        if (state.version !== undefined) {
            this.mergeDelta({ kind: "version", announcement: state.version }, source, isJoining);
        }
    }

    /** A joining router does not forward the state that it receives, since the fleet knows it already. */
    private mergeDelta(delta: Delta, source: string | undefined, joining: boolean): void {
        if (joining) {
            this.recordDelta(delta, source);
        }
        else {
            this.apply(delta, source);
        }
    }

    private isPresentLocally(id: string): boolean {
        const known = this.table.get(id);
        return known !== undefined && isPresent(known);
    }

    private applyMessage(message: GossipMessage): void {
        const sender = this.table.get(message.senderId);
        if (sender !== undefined && message.incarnation > sender.incarnation) {
            const member = { ...sender, incarnation: message.incarnation, state: RouterState.alive };
            this.apply({ kind: "member", member }, message.senderId);
        }
        for (const delta of message.deltas) {
            this.apply(delta, message.senderId);
        }
        if (this.table.raiseVersion(message.senderId, message.configurationVersion)) {
            this.listener.onVersionAnnounced({
                routerId: message.senderId,
                version: message.configurationVersion,
            });
        }
    }

    /** Returns whether the delta changed this view and must be forwarded. */
    private recordDelta(delta: Delta, source: string | undefined): boolean {
        switch (delta.kind) {
            case "member":
                return this.recordMember(delta.member, source);
            case "notice": {
                const isNew = this.notices.apply(delta.notice);
                if (isNew) {
                    this.listener.onNoticeReceived(delta.notice);
                }
                return isNew;
            }
            case "version":
                return this.recordAnnouncement(delta.announcement);
        }
    }

    private recordMember(member: RouterMember, source: string | undefined): boolean {
        if (member.id === this.selfMember.id) {
            this.refute(member);
            return false;
        }
        if (!this.table.apply(member)) {
            return false;
        }
        this.listener.onMemberChanged(this.table.get(member.id)!, source);
        return true;
    }

    private recordAnnouncement(announcement: VersionAnnouncement): boolean {
        if (announcement.version <= (this.announcement?.version ?? 0)) {
            return false;
        }
        this.announcement = announcement;
        this.table.raiseVersion(announcement.routerId, announcement.version);
        if (announcement.routerId !== this.selfMember.id) {
            this.listener.onVersionAnnounced(announcement);
        }
        return true;
    }

    /** Raises this router's incarnation if another router has recorded a wrong state or address for it. */
    private refute(reported: RouterMember): void {
        const { incarnation, state, address } = this.selfMember;
        if (state === RouterState.left || reported.incarnation < incarnation) {
            return;
        }
        const matchesSelf = reported.incarnation === incarnation && reported.state === RouterState.alive
            && reported.address === address;
        if (!matchesSelf) {
            this.raiseIncarnation(reported.incarnation);
        }
    }

    private updateSelf(member: RouterMember): void {
        this.selfMember = member;
        this.table.apply(member);
        this.deltaQueue.add({ kind: "member", member }, undefined);
        this.listener.onDeltaQueued();
    }
}
