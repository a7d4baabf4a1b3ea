package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.List;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.replicated.StateMachine;
import org.plantainwharf.replicated.StateRecord;

/** A state machine that lists the distinct wall clock times of the applied {@code Expire} commands. Not thread-safe. */
final class ListStateMachine implements StateMachine {
    private static final HostId ANY = HostId.of("any");

    private final List<Long> values = new ArrayList<>();

    List<Long> values() {
        return values;
    }

    @Override
    public CommandResult apply(Command command) {
        if (command instanceof Command.Expire expire && !values.contains(expire.wallClockMillis())) {
            values.add(expire.wallClockMillis());
        }
        return new CommandResult.Done();
    }

    @Override
    public QueryResult answer(Query query) {
        return new QueryResult.WorkPending(values.size());
    }

    @Override
    public List<StateRecord> records() {
        return values.stream()
                .<StateRecord>map(value -> new StateRecord.Fencing(value, ANY, 0))
                .toList();
    }

    @Override
    public void restore(List<StateRecord> records) {
        values.clear();
        records.forEach(record -> values.add(((StateRecord.Fencing) record).number()));
    }
}
