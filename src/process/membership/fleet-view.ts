/**
 * One router's view of the fleet: takes news and messages in, gives answers and news to pass on. Independent of
 * transport and timers, apart from the epochs of demand averaging.
 */
import { type BackendServerNotice, type RouterMember, RouterState } from "../../domain/fleet.js";
import type { VersionAnnouncement } from "../../domain/version-exchange.js";
import { DemandAverage } from "./demand-average.js";
import { isPresent, MemberTable } from "./member-table.js";
import { NewsQueue } from "./news-queue.js";
import { NoticeTable } from "./notice-table.js";
import type { MembershipSettings } from "./settings.js";
import type { Delta, DemandSlice, FleetState, GossipMessage } from "./types.js";

/** Hears of changes. */
export interface FleetViewListener {
    memberChanged(member: RouterMember, source: string | undefined): void;
    noticeArrived(notice: BackendServerNotice): void;
    versionAnnounced(announcement: VersionAnnouncement): void;
    /** There is news to pass on. */
    newsQueued(): void;
}

export class FleetView {
    readonly table = new MemberTable();
    readonly demand: DemandAverage;
    readonly news: NewsQueue;
    private readonly notices = new NoticeTable();
    private announcement: VersionAnnouncement | undefined;
    private current: RouterMember;

    constructor(
        self: Omit<RouterMember, "incarnation" | "state" | "configurationVersion">,
        settings: MembershipSettings,
        private readonly listener: FleetViewListener,
    ) {
        this.current = { ...self, incarnation: 1, state: RouterState.alive, configurationVersion: 0 };
        this.table.apply(this.current);
        this.demand = new DemandAverage(settings);
        this.news = new NewsQueue(settings.piggybackRepeats, settings.maximumDeltas);
    }

    get self(): RouterMember {
        return this.current;
    }

    /** The highest version that a present peer has in force. */
    highestAnnounced(): VersionAnnouncement | undefined {
        let highest: VersionAnnouncement | undefined;
        for (const member of this.table.presentMembers()) {
            if (member.id !== this.current.id && member.configurationVersion > (highest?.version ?? 0)) {
                highest = { routerId: member.id, version: member.configurationVersion };
            }
        }
        return highest;
    }

    /** Sets the version that this router has in force. */
    announce(version: number): void {
        this.current = { ...this.current, configurationVersion: version };
        this.table.raiseVersion(this.current.id, version);
        this.apply({ kind: "version", announcement: { routerId: this.current.id, version } }, undefined);
    }

    publishNotice(notice: BackendServerNotice): void {
        this.apply({ kind: "notice", notice }, undefined);
    }

    /** Takes a higher incarnation, which undoes what others may believe. */
    raiseIncarnation(above: number = this.current.incarnation): void {
        this.changeSelf({ ...this.current, incarnation: above + 1 });
    }

    /** Tells the others that this router leaves. */
    leave(): void {
        this.changeSelf({ ...this.current, state: RouterState.left });
    }

    /** Sets another member's state in the incarnation that was seen. */
    setState(id: string, incarnation: number, state: RouterState): void {
        const member = this.table.get(id);
        if (member !== undefined && member.incarnation === incarnation) {
            this.apply({ kind: "member", member: { ...member, state } }, undefined);
        }
    }

    /** Takes one piece of news in, and passes it on if it is new. */
    apply(delta: Delta, source: string | undefined): void {
        if (this.take(delta, source)) {
            this.news.add(delta, source);
            this.listener.newsQueued();
        }
    }

    createMessage(deltas: readonly Delta[], demand?: DemandSlice): GossipMessage {
        return {
            senderId: this.current.id,
            incarnation: this.current.incarnation,
            configurationVersion: this.current.configurationVersion,
            digest: this.table.digest,
            deltas,
            demand,
            unknownSender: false,
        };
    }

    /** A probe of a peer. */
    createProbe(): GossipMessage {
        return this.createMessage(this.news.takePiggyback(), this.demand.nextRequest());
    }

    /** Takes a message in and answers it. */
    answer(message: GossipMessage): GossipMessage {
        this.takeMessage(message);
        const sender = this.table.get(message.senderId);
        const corrections: Delta[] = sender !== undefined && sender.state !== RouterState.alive
            ? [{ kind: "member", member: sender }]
            : [];
        const demand = message.demand === undefined ? undefined : this.demand.answer(message.demand);
        const reply = this.createMessage([...corrections, ...this.news.takePiggyback()], demand);
        return { ...reply, unknownSender: sender === undefined };
    }

    /** Takes the answer to a message in. */
    settle(request: GossipMessage, reply: GossipMessage): void {
        this.takeMessage(reply);
        if (request.demand !== undefined && reply.demand !== undefined) {
            this.demand.settle(request.demand, reply.demand);
        }
    }

    state(): FleetState {
        return { members: this.table.all(), notices: this.notices.all(), version: this.announcement };
    }

    /**
     * Takes another router's whole state in. Members that it holds for dead become suspects here, so that those on
     * this side of an ended partition can refute.
     */
    merge(state: FleetState, source: string | undefined): void {
        const joining = this.table.presentMembers().length <= 1;
        for (const member of state.members) {
            if (member.state === RouterState.dead && !this.isPresentHere(member.id)) {
                continue;
            }
            const softened = member.state === RouterState.dead ? { ...member, state: RouterState.suspect } : member;
            this.mergeDelta({ kind: "member", member: softened }, source, joining && member.id !== this.current.id);
        }
        for (const notice of state.notices) {
            this.mergeDelta({ kind: "notice", notice }, source, joining);
        }
        if (state.version !== undefined) {
            this.mergeDelta({ kind: "version", announcement: state.version }, source, joining);
        }
    }

    /** What a router that joins learns is known to all, so it does not pass it on. */
    private mergeDelta(delta: Delta, source: string | undefined, joining: boolean): void {
        if (joining) {
            this.take(delta, source);
        }
        else {
            this.apply(delta, source);
        }
    }

    private isPresentHere(id: string): boolean {
        const known = this.table.get(id);
        return known !== undefined && isPresent(known);
    }

    private takeMessage(message: GossipMessage): void {
        const sender = this.table.get(message.senderId);
        if (sender !== undefined && message.incarnation > sender.incarnation) {
            const member = { ...sender, incarnation: message.incarnation, state: RouterState.alive };
            this.apply({ kind: "member", member }, message.senderId);
        }
        for (const delta of message.deltas) {
            this.apply(delta, message.senderId);
        }
        if (this.table.raiseVersion(message.senderId, message.configurationVersion)) {
            this.listener.versionAnnounced({
                routerId: message.senderId,
                version: message.configurationVersion,
            });
        }
    }

    /** Returns whether the news is new. */
    private take(delta: Delta, source: string | undefined): boolean {
        switch (delta.kind) {
            case "member":
                return this.takeMember(delta.member, source);
            case "notice": {
                const isNew = this.notices.apply(delta.notice);
                if (isNew) {
                    this.listener.noticeArrived(delta.notice);
                }
                return isNew;
            }
            case "version":
                return this.takeAnnouncement(delta.announcement);
        }
    }

    private takeMember(member: RouterMember, source: string | undefined): boolean {
        if (member.id === this.current.id) {
            this.refute(member);
            return false;
        }
        if (!this.table.apply(member)) {
            return false;
        }
        this.listener.memberChanged(this.table.get(member.id)!, source);
        return true;
    }

    private takeAnnouncement(announcement: VersionAnnouncement): boolean {
        if (announcement.version <= (this.announcement?.version ?? 0)) {
            return false;
        }
        this.announcement = announcement;
        this.table.raiseVersion(announcement.routerId, announcement.version);
        if (announcement.routerId !== this.current.id) {
            this.listener.versionAnnounced(announcement);
        }
        return true;
    }

    /** Answers what others believe of this router, if it is not so. */
    private refute(belief: RouterMember): void {
        const { incarnation, state, address } = this.current;
        if (state === RouterState.left || belief.incarnation < incarnation) {
            return;
        }
        const isOurs = belief.incarnation === incarnation && belief.state === RouterState.alive
            && belief.address === address;
        if (!isOurs) {
            this.raiseIncarnation(belief.incarnation);
        }
    }

    private changeSelf(member: RouterMember): void {
        this.current = member;
        this.table.apply(member);
        this.news.add({ kind: "member", member }, undefined);
        this.listener.newsQueued();
    }
}
